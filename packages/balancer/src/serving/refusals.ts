/** What callers are told when no upstream's answer can be given. */

import {
  repeatDelayMs,
  retryAfterMs,
  type RandomSource,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {Placement, PlacementObstacle} from '../members/placement.js';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {CrashTracker} from '../suspects/crash-tracker.js';
import type {LimitGate} from './limit-gate.js';
import type {RouteState} from './route-state.js';
import type {
  LastUpstream,
  Refusal,
  RefusalReason,
  RoutedRequest,
} from './routed-request.js';
import type {SelectedUpstream} from './upstream-selector.js';

/** Options of `Refusals`. */
export interface RefusalsOptions {
  readonly routeState: RouteState;
  readonly registry: UpstreamRegistry;
  readonly placement: Placement;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly limitGate: LimitGate;
  readonly crashTracker: CrashTracker;
}

/** Time after which an entry that reaches no upstream may reach one again, in milliseconds: the shortest pause between its load queries, and their answers. */
const UNREACHED_RETRY_AFTER_MS = 400;

/** Time after which a request that regions or an evacuation leave no upstream may find one, in milliseconds: changes reach entries within 2.5 s, and early returns cost no upstream anything. */
export const PLACEMENT_RETRY_AFTER_MS = 1_000;

/** Delay after which a caller that a stopping entry refuses may try another entry, in milliseconds. */
const STOPPING_RETRY_AFTER_MS = 50;

/** Refusal of a request by an entry that is stopping. */
export const STOPPING_REFUSAL: Refusal = {
  reason: 'stopping',
  isNotRun: true,
  retryAfterMs: STOPPING_RETRY_AFTER_MS,
};

/** Delay after which a caller may try again whose request the configuration was changed under, in milliseconds: the new one is in force already. */
const CHANGED_RETRY_AFTER_MS = 50;

/** Refusal of a request that the configuration in force routes otherwise. */
export const CHANGED_REFUSAL: Refusal = {
  reason: 'other-configuration',
  isNotRun: true,
  retryAfterMs: CHANGED_RETRY_AFTER_MS,
};

/** Refusal of a request whose route is divided among services that all have weight 0. */
export const NO_WEIGHT_REFUSAL: Refusal = {
  reason: 'no-weight',
  isNotRun: true,
  retryAfterMs: PLACEMENT_RETRY_AFTER_MS,
};

/** Creates the refusals of one request. */
export class Refusals {
  readonly #request: RoutedRequest;
  readonly #options: RefusalsOptions;

  constructor(request: RoutedRequest, options: RefusalsOptions) {
    this.#request = request;
    this.#options = options;
  }

  /** Why a request is refused that no upstream could be sent. */
  get reasonWithoutSend(): RefusalReason {
    return this.#placementObstacle ?? 'no-upstream';
  }

  /** Why regions or evacuations leave no upstream; undefined if they leave one. */
  get #placementObstacle(): PlacementObstacle | undefined {
    const {placement, registry} = this.#options;
    const {service, allowedRegions} = this.#request;
    return placement.findObstacle(registry.list(service), allowedRegions);
  }

  /** Why no upstream can be selected. */
  get reasonWithoutUpstream(): RefusalReason {
    const {limitGate} = this.#options;
    const obstacle = this.#placementObstacle;
    if (obstacle !== undefined) {
      return obstacle;
    }
    if (this.#restRemainingMs > 0) {
      return 'resting';
    }
    if (limitGate.isServiceWarmingUp) {
      return 'warming-up';
    }
    return limitGate.isServiceLimited ? 'over-limit' : 'no-upstream';
  }

  /**
   * Creates a refusal.
   * @param selected The upstream selected last; undefined if there was none.
   * @param knownDelayMs When the request should come back, in milliseconds; estimated if undefined.
   */
  create(
    reason: RefusalReason,
    isNotRun: boolean,
    selected: SelectedUpstream | undefined,
    knownDelayMs: number | undefined,
  ): Refusal {
    return {
      reason,
      isNotRun,
      retryAfterMs: isNotRun
        ? (knownDelayMs ?? this.#delayMs(reason, selected))
        : undefined,
      lastUpstream: selected && toLastUpstream(selected),
      places: this.#options.placement.describe(this.#request.allowedRegions),
      pressure: reason === 'full' ? this.#admission.pressure : undefined,
    };
  }

  /** Time until the first upstream is back that the request may be sent to, in milliseconds; 0 if not all of them rest. */
  get #restRemainingMs(): number {
    const {registry, placement} = this.#options;
    const {service, allowedRegions} = this.#request;
    return registry.restRemainingMs(service, handle =>
      placement.allows(handle, allowedRegions),
    );
  }

  #delayMs(
    reason: RefusalReason,
    selected: SelectedUpstream | undefined,
  ): number {
    const {crashTracker, limitGate, random} = this.#options;
    switch (reason) {
      case 'quarantined':
        return crashTracker.remainingMs;
      case 'over-limit':
      case 'warming-up':
        return limitGate.refuse();
      case 'resting':
        return retryAfterMs(1, this.#restRemainingMs, random);
      case 'no-allowed-upstream':
      case 'evacuated':
        return retryAfterMs(1, PLACEMENT_RETRY_AFTER_MS, random);
      case 'full':
        return this.#fullDelayMs(selected);
      case 'attempts-spent':
        return this.#repeatDelayMs(selected);
      case 'stopping':
        return STOPPING_RETRY_AFTER_MS;
      case 'other-configuration':
        return CHANGED_RETRY_AFTER_MS;
      case 'unreached':
        return retryAfterMs(1, UNREACHED_RETRY_AFTER_MS, random);
      default:
        return this.#freeSlotDelayMs(selected);
    }
  }

  #fullDelayMs(selected: SelectedUpstream | undefined): number {
    return this.#admission.refuse(
      this.#freeSlotDelayMs(selected),
      this.#options.clock.now(),
      this.#request.priority,
    );
  }

  #repeatDelayMs(selected: SelectedUpstream | undefined): number {
    const {routeState, registry, clock} = this.#options;
    const {service, priority} = this.#request;
    const slotDelayMs = this.#freeSlotDelayMs(selected);
    if (!routeState.isValueBased(service)) {
      return slotDelayMs;
    }
    const failures = registry.groupFailureShare(service, 'same-region');
    return repeatDelayMs(slotDelayMs, {
      moreUrgentShare: this.#admission.moreUrgentShare(priority),
      failureShare: failures.share(clock.now()),
    });
  }

  get #admission() {
    return this.#options.routeState.admission(this.#request.service);
  }

  /** Estimates when an upstream has a free slot, in milliseconds from now. */
  #freeSlotDelayMs(selected: SelectedUpstream | undefined): number {
    const {routeState, clock, random} = this.#options;
    const {workMs} = routeState.workEstimate(this.#request.route);
    if (selected === undefined) {
      return retryAfterMs(1, workMs, random);
    }
    const {statistics} = selected.handle;
    const excessRequests = -statistics.freeSlots(clock.now());
    const workPerSlotMs = workMs / Math.max(1, statistics.slots);
    return retryAfterMs(excessRequests, workPerSlotMs, random);
  }
}

function toLastUpstream(selected: SelectedUpstream): LastUpstream {
  const {handle, estimateMs, reportAgeMs, freeSlots, considered} = selected;
  const upstreamId = handle.id;
  return {upstreamId, estimateMs, reportAgeMs, freeSlots, considered};
}
