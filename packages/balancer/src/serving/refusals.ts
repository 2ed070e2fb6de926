/** What callers are told when no upstream's answer can be given. */

import {
  repeatDelayMs,
  retryAfterMs,
  type RandomSource,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
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
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly limitGate: LimitGate;
  readonly crashTracker: CrashTracker;
}

/** Time after which an entry that reaches no upstream may reach one again, in milliseconds: the shortest pause between its load queries, and their answers. */
const UNREACHED_RETRY_AFTER_MS = 400;

/** Delay after which a caller that a stopping entry refuses may try another entry, in milliseconds. */
export const STOPPING_RETRY_AFTER_MS = 50;

/** Creates the refusals of one request. */
export class Refusals {
  readonly #request: RoutedRequest;
  readonly #options: RefusalsOptions;

  constructor(request: RoutedRequest, options: RefusalsOptions) {
    this.#request = request;
    this.#options = options;
  }

  /** Why no upstream can be selected. */
  get reasonWithoutUpstream(): RefusalReason {
    const {registry, limitGate} = this.#options;
    if (registry.restRemainingMs(this.#request.service) > 0) {
      return 'resting';
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
      pressure: reason === 'full' ? this.#admission.pressure : undefined,
    };
  }

  #delayMs(
    reason: RefusalReason,
    selected: SelectedUpstream | undefined,
  ): number {
    const {crashTracker, limitGate, registry, random} = this.#options;
    switch (reason) {
      case 'quarantined':
        return crashTracker.remainingMs;
      case 'over-limit':
        return limitGate.refuse();
      case 'resting': {
        const remainingMs = registry.restRemainingMs(this.#request.service);
        return retryAfterMs(1, remainingMs, random);
      }
      case 'full':
        return this.#fullDelayMs(selected);
      case 'attempts-spent':
        return this.#repeatDelayMs(selected);
      case 'stopping':
        return STOPPING_RETRY_AFTER_MS;
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
