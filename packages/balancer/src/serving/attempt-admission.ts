/** Selects the upstream of an attempt, and decides whether the attempt may start there. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {
  AdmissionDecision,
  RandomSource,
  RequestDemand,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {UpstreamHandle} from '../members/upstream-handle.js';
import {canBeFinished, isAttemptInTime} from './attempt-timing.js';
import type {LimitGate} from './limit-gate.js';
import type {RefusalReason, RoutedRequest} from './routed-request.js';
import type {RouteState} from './route-state.js';
import type {SelectedUpstream, UpstreamSelector} from './upstream-selector.js';

/** Options of `AttemptAdmission`. */
export interface AttemptAdmissionOptions {
  readonly selector: UpstreamSelector;
  readonly limitGate: LimitGate;
  readonly routeState: RouteState;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** When this process ends, on the monotonic clock in milliseconds; infinite unless it is stopping. */
  readonly endsAtMs: () => number;
}

/** What happens to an attempt. */
export type AttemptDecision =
  | {readonly kind: Exclude<AdmissionDecision, 'refuse'>}
  | {readonly kind: 'refuse'; readonly reason: RefusalReason};

/** Longest wait for a slot, as a share of the target latency: a caller that is refused after it can still be answered in time elsewhere. */
const MAXIMUM_WAIT_SHARE = 1 / 8;

/** Minimum time between selections while a request waits, and the jitter added to it, in milliseconds: a few times in the shortest wait, and not all waiting requests at once. */
const MINIMUM_PAUSE_MS = 5;
const PAUSE_JITTER_MS = 10;

/** Admission of one request's attempts. */
export class AttemptAdmission {
  readonly #request: RoutedRequest;
  readonly #options: AttemptAdmissionOptions;
  #waitingSinceMs: number | undefined;
  #endWait: (() => void) | undefined;
  #isCounted = false;
  #sentCount = 0;

  constructor(request: RoutedRequest, options: AttemptAdmissionOptions) {
    this.#request = request;
    this.#options = options;
  }

  /** Selects the best upstream; undefined if none is usable. @param tried Upstreams that earlier attempts used. */
  select(
    tried: ReadonlySet<UpstreamHandle>,
  ): Promise<SelectedUpstream | undefined> {
    const {selector, routeState, limitGate} = this.#options;
    const {route, service, loadPath, deadlineMs, body} = this.#request;
    return selector.select({
      service,
      loadPath,
      workEstimate: routeState.workEstimate(route),
      targetAtMs: this.#request.arrivedAtMs + route.targetLatencyMs,
      deadlineMs,
      bodyBytes: body?.length ?? 0,
      excluded: tried,
      mayUseLimited: limitGate.mayUseLimited,
      allowedRegions: this.#request.allowedRegions,
    });
  }

  /**
   * Why a request may no longer be sent; undefined if it may. The configuration
   * is asked only before the first send: the request may have waited since.
   */
  findObstacle(
    mayHaveRun: boolean,
    sentCount: number,
  ): RefusalReason | undefined {
    if (mayHaveRun) {
      return undefined;
    }
    if (sentCount === 0 && this.#request.isStillAuthorized?.() === false) {
      return 'other-configuration';
    }
    const isInTime = canBeFinished(this.#request, this.#options.endsAtMs());
    return isInTime ? undefined : 'stopping';
  }

  /**
   * Decides on an attempt at the best upstream. A request that may have run
   * can't be refused as not run, so it is sent as long as its deadline allows.
   */
  decide(selected: SelectedUpstream, mayHaveRun: boolean): AttemptDecision {
    const {routeState, clock, endsAtMs} = this.#options;
    const {route} = this.#request;
    const nowMs = clock.now();
    const isStopping = endsAtMs() < Infinity;
    const trials = isStopping ? undefined : routeState.workEstimate(route);
    if (!isAttemptInTime(selected, this.#request, trials, nowMs)) {
      return {kind: 'refuse', reason: isStopping ? 'stopping' : 'no-room'};
    }
    if (mayHaveRun) {
      return {kind: 'send'};
    }
    const demand = this.#demand;
    if (!this.#isCounted) {
      this.#isCounted = true;
      this.#admission.onArrival(demand, nowMs);
    }
    const decision = this.#admission.decide({
      ...demand,
      nowMs,
      get considered() {
        return selected.considered;
      },
      estimateMs: selected.estimateMs,
      freeSlotEstimateMs: selected.freeSlotEstimateMs,
      freeSlots: selected.freeSlots,
      slowingSlots: selected.handle.statistics.slowingSlots,
      targetRemainingMs:
        this.#request.arrivedAtMs + route.targetLatencyMs - nowMs,
      maximumWaitMs: route.targetLatencyMs * MAXIMUM_WAIT_SHARE,
      waitedMs: nowMs - (this.#waitingSinceMs ?? nowMs),
    });
    return decision === 'refuse'
      ? {kind: 'refuse', reason: 'full'}
      : {kind: decision};
  }

  /** Waits until it is worth selecting an upstream again. */
  async pause(): Promise<void> {
    const {clock, random} = this.#options;
    this.#waitingSinceMs ??= clock.now();
    this.#endWait ??= this.#admission.onWait(this.#request.priority);
    await sleep(MINIMUM_PAUSE_MS + random.nextBelow(PAUSE_JITTER_MS));
  }

  /** Called when the request no longer waits, whatever becomes of it. */
  endWait(): void {
    this.#endWait?.();
    this.#endWait = undefined;
  }

  /** Called when an attempt is sent. */
  onSend(): void {
    this.endWait();
    const nowMs = this.#options.clock.now();
    this.#admission.onSend(this.#demand, nowMs, this.#sentCount > 0);
    this.#sentCount += 1;
  }

  get #demand(): RequestDemand {
    const {route, priority, account} = this.#request;
    const {workMs} = this.#options.routeState.workEstimate(route);
    return {priority, workMs, account: account?.name};
  }

  get #admission() {
    return this.#options.routeState.admission(this.#request.service);
  }
}
