/** Admission of one request to upstreams that name limits. */

import type {Clock} from '@wasabidyke/shared';
import type {Placement} from '../members/placement.js';
import type {UpstreamHandle} from '../members/upstream-handle.js';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {RoutedRequest} from './routed-request.js';
import type {RouteState} from './route-state.js';

/** Options of `LimitGate`. */
export interface LimitGateOptions {
  readonly routeState: RouteState;
  readonly registry: UpstreamRegistry;
  readonly placement: Placement;
  readonly clock: Clock;
}

/** An upstream with a limit. */
interface LimitedUpstream {
  readonly handle: UpstreamHandle;
  /** Requests per second from all entries. */
  readonly perSecond: number;
}

/** Decides whether a request may use limited upstreams, and when it should come back if it may not. */
export class LimitGate {
  readonly #request: RoutedRequest;
  readonly #options: LimitGateOptions;

  constructor(request: RoutedRequest, options: LimitGateOptions) {
    this.#request = request;
    this.#options = options;
  }

  /** Whether the request gives way to no more urgent one that was just refused. */
  get mayUseLimited(): boolean {
    const {priority} = this.#request;
    return this.#admission.mayUse(priority, this.#options.clock.now());
  }

  /** Whether upstreams of the service that the request may be sent to name limits or are in warm-up. */
  get isServiceLimited(): boolean {
    return this.#limited.length > 0;
  }

  /** Whether all limits of upstreams that the request may be sent to are those of their warm-ups. */
  get isServiceWarmingUp(): boolean {
    const nowMs = this.#options.clock.now();
    const limited = this.#limited;
    return (
      limited.length > 0 &&
      limited.every(({handle}) => handle.warmUp.warmUp.isCold(nowMs))
    );
  }

  /** Records that the request is refused; returns when it should come back, in milliseconds. */
  refuse(): number {
    const {registry, clock} = this.#options;
    const sum = this.#limited.reduce(
      (total, {perSecond}) => total + perSecond,
      0,
    );
    const ratePerSecond = sum / registry.entryCount;
    const {priority} = this.#request;
    return this.#admission.refuse(priority, ratePerSecond, clock.now());
  }

  get #admission() {
    return this.#options.routeState.limitedAdmission(this.#request.service);
  }

  /** The upstreams with a limit that the request may be sent to. */
  get #limited(): readonly LimitedUpstream[] {
    const {registry, placement, clock} = this.#options;
    const {service, allowedRegions} = this.#request;
    const nowMs = clock.now();
    const limited: LimitedUpstream[] = [];
    for (const handle of registry.list(service)) {
      const perSecond = handle.limit.appliedPerSecond(nowMs);
      if (perSecond !== undefined && placement.allows(handle, allowedRegions)) {
        limited.push({handle, perSecond});
      }
    }
    return limited;
  }
}
