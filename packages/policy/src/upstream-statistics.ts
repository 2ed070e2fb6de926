/**
 * One entry's statistics of an upstream: its last load report, the requests
 * sent to it since, and the outcomes of its requests.
 */

import {GroupFailureShare} from './group-failure-share.js';
import type {ServiceReach} from './service-reach.js';
import type {Distance} from './upstream-load.js';

/** The load that an upstream reports of itself. */
export interface OccupancyReport {
  /** Number of running requests. */
  readonly running: number;
  /** Number of requests that wait for a slot. */
  readonly waiting: number;
  readonly slots: number;
  /** Current duration of work there, as a multiple of the usual duration. */
  readonly slowdown: number;
}

/** Outcome of an attempt at an upstream. */
export type AttemptOutcome =
  'answered' | 'error-answer' | 'refused' | 'failed' | 'cancelled';

/** Options of `estimateMs`. */
export interface EstimateQuery {
  readonly nowMs: number;
  /** Duration of the work on an undisturbed upstream with a free slot. */
  readonly workMs: number;
}

/** Options of `usableSlots`. */
export interface UsableSlotsQuery extends EstimateQuery {
  /** Remaining milliseconds until the target latency. */
  readonly targetRemainingMs: number;
}

/** Time constant of the decay of a reported slowdown, in milliseconds: noisy neighbours come and go about this fast. */
const SLOWDOWN_TIME_CONSTANT_MS = 600;

/** Slowdown that is assumed without a recent report. */
const USUAL_SLOWDOWN = 2;

/** Slowdown of work on an upstream that is warming up after its start. */
const WARM_UP_SLOWDOWN = 2;

/** Occupancy above which work slows down, as a share of the slots. */
const HIGH_OCCUPANCY_SHARE = 0.8;

/** Slowdown of work above that occupancy. */
const HIGH_OCCUPANCY_SLOWDOWN = 1.4;

/** Weight of the newest outcome in the failure share. */
const FAILURE_WEIGHT = 0.3;

/** Half-life of the upstream's own failure share, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 2_500;

/** Minimum failure share of an upstream that is unresponsive to load queries. */
const UNRESPONSIVE_FAILURE_SHARE = 0.8;

/** Time for which an upstream counts as unresponsive, in milliseconds; the next load query comes sooner. */
const UNRESPONSIVE_LIFETIME_MS = 5_000;

/** Weight of the newest answer in the slowdown learned from the durations of answers. */
const LEARNED_WEIGHT = 0.25;

/** Bounds of the learned slowdown. */
const LEARNED_MINIMUM = 0.7;
const LEARNED_MAXIMUM = 12;

/** Half-life of the learned slowdown, in milliseconds. */
const LEARNED_HALF_LIFE_MS = 4_000;

/** Age above which a report's occupancy is ignored, in milliseconds: requests of that time have ended by then. */
const REPORT_LIFETIME_MS = 1_500;

/** One entry's statistics of an upstream. */
export class UpstreamStatistics {
  readonly distance: Distance;
  readonly roundTripMs: number;
  slots: number;
  #warmUpEndsAtMs = 0;
  #report: OccupancyReport | undefined;
  #reportedAtMs = -Infinity;
  #sentSinceReport = 0;
  /** Requests that ended since the report, whether they were sent before or after it. */
  #endedSinceReport = 0;
  #inFlight = 0;
  #failureShare = 0;
  #failureAtMs = -Infinity;
  #learned = 1;
  #learnedAtMs = 0;
  #hasServed = false;
  #unresponsiveAtMs = -Infinity;
  readonly #group: GroupFailureShare;
  readonly #reach: ServiceReach | undefined;

  /**
   * @param group Failure share of the group of upstreams that it belongs to.
   * @param reach What is known of the links to its service.
   */
  constructor(
    distance: Distance,
    roundTripMs: number,
    slots: number,
    group = new GroupFailureShare(),
    reach?: ServiceReach,
  ) {
    this.distance = distance;
    this.roundTripMs = roundTripMs;
    this.slots = slots;
    this.#group = group;
    this.#reach = reach;
  }

  /** Whether the upstream has answered any request of this entry. */
  get hasServed(): boolean {
    return this.#hasServed;
  }

  /** Returns the age of the last report in milliseconds; Infinity before the first one. */
  reportAgeMs(nowMs: number): number {
    return nowMs - this.#reportedAtMs;
  }

  /** Sets the end of the upstream's warm-up after its start. */
  setWarmUpEnd(untilMs: number): void {
    this.#warmUpEndsAtMs = untilMs;
  }

  /** Called when the upstream has reported its load. */
  onReport(report: OccupancyReport, nowMs: number): void {
    this.#report = report;
    this.#reportedAtMs = nowMs;
    this.#unresponsiveAtMs = -Infinity;
    this.#sentSinceReport = 0;
    this.#endedSinceReport = 0;
    this.slots = report.slots;
    this.#reach?.onHeard();
  }

  /** Called when a request is sent. */
  onSend(): void {
    this.#inFlight += 1;
    this.#sentSinceReport += 1;
  }

  /** Called when an attempt has ended. */
  onEnd(end: AttemptOutcome, nowMs: number): void {
    this.#inFlight -= 1;
    if (end === 'cancelled') {
      return;
    }
    const isAnswered = end === 'answered';
    this.#hasServed ||= isAnswered;
    if (isAnswered) {
      this.#unresponsiveAtMs = -Infinity;
    }
    if (end !== 'failed') {
      this.#endedSinceReport += 1;
      this.#reach?.onHeard();
    }
    this.#onOutcome(!isAnswered, nowMs);
    this.#group.onOutcome(!isAnswered, nowMs);
  }

  /** Called when the upstream leaves a load query unanswered for longer than usual; a report or an answer ends this state. */
  onUnresponsive(nowMs: number): void {
    this.#unresponsiveAtMs = nowMs;
    this.#onOutcome(true, nowMs);
    this.#reach?.onSilent(this);
  }

  /** Called when a connection to the upstream can't be opened, or a load query has failed. */
  onUnreachable(nowMs: number): void {
    this.#unresponsiveAtMs = nowMs;
    this.#reach?.onFailed(this, nowMs);
  }

  /** Whether the upstream was not heard from since it was last found unresponsive, within its lifetime. */
  isUnresponsive(nowMs: number): boolean {
    return nowMs - this.#unresponsiveAtMs < UNRESPONSIVE_LIFETIME_MS;
  }

  /** Called when an answer took `factor` times as long as its estimate. */
  onDurationRatio(factor: number, nowMs: number): void {
    const learned = this.#learnedSlowdown(nowMs);
    const next = learned + LEARNED_WEIGHT * (factor * learned - learned);
    this.#learned = clamp(next, LEARNED_MINIMUM, LEARNED_MAXIMUM);
    this.#learnedAtMs = nowMs;
  }

  /** Returns the expected share of failing requests; with time, the upstream's own share decays to that of its group. */
  failureShare(nowMs: number): number {
    const groupShare = this.#group.share(nowMs);
    const ageMs = nowMs - this.#failureAtMs;
    const weight = 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
    const share = groupShare + (this.#failureShare - groupShare) * weight;
    return this.isUnresponsive(nowMs)
      ? Math.max(share, UNRESPONSIVE_FAILURE_SHARE)
      : share;
  }

  /** Returns the estimated number of requests that run or wait there. */
  occupancy(nowMs: number): number {
    if (
      this.#report === undefined ||
      this.reportAgeMs(nowMs) > REPORT_LIFETIME_MS
    ) {
      return this.#inFlight;
    }
    const reported = this.#report.running + this.#report.waiting;
    const change = this.#sentSinceReport - this.#endedSinceReport;
    return Math.max(reported + change, this.#inFlight);
  }

  /** Returns the estimated number of free slots; negative when requests queue. */
  freeSlots(nowMs: number): number {
    return this.slots - this.occupancy(nowMs);
  }

  /** Number of slots whose use slows the other requests more than it serves: the upstream answers more in the same time without them. */
  get slowingSlots(): number {
    const usualSlots = Math.floor(this.slots * HIGH_OCCUPANCY_SHARE);
    const isFullBetter = this.slots / HIGH_OCCUPANCY_SLOWDOWN > usualSlots;
    return isFullBetter ? 0 : this.slots - usualSlots;
  }

  /** Returns the estimated number of free slots in which a request is answered within its target latency, without those whose use slows the other requests more than it serves, times the share of requests that are expected to succeed; 0 or more. */
  usableSlots(query: UsableSlotsQuery): number {
    const isInTime = this.freeSlotEstimateMs(query) <= query.targetRemainingMs;
    const freeSlots = this.freeSlots(query.nowMs) - this.slowingSlots;
    const successShare = 1 - this.failureShare(query.nowMs);
    return isInTime ? Math.max(0, freeSlots) * successShare : 0;
  }

  /** Returns the estimated duration of work there, as a multiple of the usual duration. */
  slowdown(nowMs: number): number {
    const cold = nowMs < this.#warmUpEndsAtMs ? WARM_UP_SLOWDOWN : 1;
    return this.#reportedSlowdown(nowMs) * this.#learnedSlowdown(nowMs) * cold;
  }

  /** Estimates the milliseconds until the answer to a request that is sent now. */
  estimateMs(query: EstimateQuery): number {
    const occupancy = this.occupancy(query.nowMs) + 1;
    return this.#estimateAtMs(occupancy, query);
  }

  /** Estimates the same for the case that a slot is free. */
  freeSlotEstimateMs(query: EstimateQuery): number {
    const occupancy = this.occupancy(query.nowMs) + 1;
    return this.#estimateAtMs(Math.min(occupancy, this.slots), query);
  }

  #estimateAtMs(occupancy: number, {nowMs, workMs}: EstimateQuery): number {
    const occupancyFactor =
      occupancy > this.slots * HIGH_OCCUPANCY_SHARE
        ? HIGH_OCCUPANCY_SLOWDOWN
        : 1;
    const queued = Math.max(0, occupancy - this.slots);
    const runMs = workMs * this.slowdown(nowMs) * occupancyFactor;
    return this.roundTripMs + runMs * (1 + queued / Math.max(1, this.slots));
  }

  #onOutcome(isFailure: boolean, nowMs: number): void {
    const share = this.failureShare(nowMs);
    this.#failureShare = share + FAILURE_WEIGHT * (Number(isFailure) - share);
    this.#failureAtMs = nowMs;
  }

  #reportedSlowdown(nowMs: number): number {
    if (this.#report === undefined) {
      return USUAL_SLOWDOWN;
    }
    const weight = Math.exp(
      -this.reportAgeMs(nowMs) / SLOWDOWN_TIME_CONSTANT_MS,
    );
    return USUAL_SLOWDOWN + (this.#report.slowdown - USUAL_SLOWDOWN) * weight;
  }

  #learnedSlowdown(nowMs: number): number {
    const ageMs = nowMs - this.#learnedAtMs;
    return 1 + (this.#learned - 1) * 0.5 ** (ageMs / LEARNED_HALF_LIFE_MS);
  }
}

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(Math.max(value, minimum), maximum);
}
