/** Decides for one request whether it is sent through another entry. */

import type {Clock} from '@wasabidyke/shared';
import type {Placement} from '../members/placement.js';
import type {UpstreamHandle} from '../members/upstream-handle.js';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {RouteState} from '../serving/route-state.js';
import type {RoutedRequest} from '../serving/routed-request.js';
import type {SelectedUpstream} from '../serving/upstream-selector.js';
import type {RelayAttempt, RelaySender} from './relay-sender.js';

/** Options of `RequestRelay`. */
export interface RequestRelayOptions {
  readonly relay: RelaySender;
  readonly registry: UpstreamRegistry;
  readonly placement: Placement;
  readonly routeState: RouteState;
  readonly clock: Clock;
}

/** Other entries that one request is relayed to, if those before have not sent it. */
const MAXIMUM_RELAYS = 4;

/** Relays one request. */
export class RequestRelay {
  readonly #request: RoutedRequest;
  readonly #options: RequestRelayOptions;
  /** Other entries that the request was relayed to. */
  readonly #relayedTo = new Set<string>();

  constructor(request: RoutedRequest, options: RequestRelayOptions) {
    this.#request = request;
    this.#options = options;
  }

  /**
   * Whether another entry is more likely to reach an upstream than this one.
   * @param selected The best upstream; undefined if none is usable.
   * @param tried Upstreams that can't be selected any more.
   */
  isUnreached(
    selected: SelectedUpstream | undefined,
    tried: ReadonlySet<UpstreamHandle>,
  ): boolean {
    const {registry, placement, clock} = this.#options;
    const {service, allowedRegions} = this.#request;
    const nowMs = clock.now();
    if (selected === undefined && this.#isObstructed) {
      return false;
    }
    if (registry.reach(service).isDoubtful) {
      return true;
    }
    if (selected !== undefined) {
      return selected.handle.statistics.isUnresponsive(nowMs);
    }
    return registry
      .list(service)
      .some(
        handle =>
          !tried.has(handle) &&
          placement.allows(handle, allowedRegions) &&
          !handle.hasConnection(nowMs) &&
          handle.statistics.isUnresponsive(nowMs),
      );
  }

  /** Whether a request that can't be relayed is known to reach no upstream. Some are sent all the same, to find out. */
  isLost(): boolean {
    const {registry, clock} = this.#options;
    const nowMs = clock.now();
    const reach = registry.reach(this.#request.service);
    if (this.#request.relayed !== undefined) {
      return reach.isDoubtful;
    }
    return reach.isLost(nowMs) && !reach.takeTrial(nowMs);
  }

  /** Sends the request through another entry; undefined if none is likely to serve it. @param tried Upstreams that it was sent to. */
  send(tried: ReadonlySet<UpstreamHandle>): RelayAttempt | undefined {
    const {relay, routeState} = this.#options;
    const isAllowed =
      this.#request.relayed === undefined &&
      this.#relayedTo.size < MAXIMUM_RELAYS;
    if (!isAllowed || this.#isObstructed) {
      return undefined;
    }
    const {workMs} = routeState.workEstimate(this.#request.route);
    const excluded = [...tried].map(({id}) => id);
    return relay.send(this.#request, workMs, this.#relayedTo, excluded);
  }

  /** Whether regions or evacuations leave no upstream, so that other entries can't serve the request either. */
  get #isObstructed(): boolean {
    const {registry, placement} = this.#options;
    const {service, allowedRegions} = this.#request;
    const handles = registry.list(service);
    return placement.findObstacle(handles, allowedRegions) !== undefined;
  }
}
