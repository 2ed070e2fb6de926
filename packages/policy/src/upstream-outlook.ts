/**
 * What an entry believes of one upstream: its last load report, what was sent
 * to it since, and how its requests have ended.
 */

import {FailureLevel} from './failure-level.js';
import type {Distance} from './upstream-load.js';

/** What an upstream says of its own load. */
export interface OccupancyReport {
  /** Requests that run. */
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there now, as a multiple of usual. */
  readonly slowdown: number;
}

/** How a request to an upstream ended. */
export type OutlookEnd =
  'answered' | 'error-answer' | 'refused' | 'failed' | 'cancelled';

/** What a request needs to be estimated. */
export interface OutlookQuery {
  readonly nowMs: number;
  /** Work on an undisturbed upstream. */
  readonly workMs: number;
}

/** Time in which a reported slowdown loses most of its meaning: neighbours come and go this fast. */
const SLOWDOWN_MEMORY_MS = 600;

/** Slowdown that is assumed where nothing recent is known. */
const USUAL_SLOWDOWN = 2;

/** How much longer work takes on an upstream that has just started. */
const COLD_SLOWDOWN = 2;

/** Occupancy from which on work slows down, as a share of the slots. */
const KNEE_SHARE = 0.8;

/** How much longer work takes above the knee. */
const KNEE_SLOWDOWN = 1.4;

/** Weight of the newest end in the share of failures. */
const FAILURE_WEIGHT = 0.3;

/** Time in which half of the memory of failures fades. */
const FAILURE_HALF_LIFE_MS = 2_500;

/** Least share of failures that is expected of an upstream that leaves load queries unanswered. */
const SILENT_SHARE = 0.8;

/** Time after which silence says nothing any more, in milliseconds: it is asked again before. */
const SILENCE_MEMORY_MS = 5_000;

/** Weight of the newest answer in the learned slowdown. */
const LEARNED_WEIGHT = 0.25;

/** Bounds of the learned slowdown. */
const LEARNED_MINIMUM = 0.7;
const LEARNED_MAXIMUM = 12;

/** Time in which half of the learned slowdown fades. */
const LEARNED_HALF_LIFE_MS = 4_000;

/** A report further ahead than any request under way says nothing new after this long. */
const REPORT_LIFETIME_MS = 1_500;

/** Beliefs about one upstream. */
export class UpstreamOutlook {
  readonly distance: Distance;
  readonly roundTripMs: number;
  slots: number;
  #coldUntilMs = 0;
  #report: OccupancyReport | undefined;
  #reportedAtMs = -Infinity;
  #sentSinceReport = 0;
  #inFlight = 0;
  #failureShare = 0;
  #failureAtMs = -Infinity;
  #learned = 1;
  #learnedAtMs = 0;
  #hasServed = false;
  #silentAtMs = -Infinity;
  readonly #level: FailureLevel;

  /** @param level Failures of the upstreams that it is one of. */
  constructor(
    distance: Distance,
    roundTripMs: number,
    slots: number,
    level = new FailureLevel(),
  ) {
    this.distance = distance;
    this.roundTripMs = roundTripMs;
    this.slots = slots;
    this.#level = level;
  }

  /** Whether any request of this entry was answered there. */
  get hasServed(): boolean {
    return this.#hasServed;
  }

  /** Age of the last report in milliseconds; infinite when there was none. */
  reportAgeMs(nowMs: number): number {
    return nowMs - this.#reportedAtMs;
  }

  /** The upstream is slow until `untilMs` because it has just started. */
  applyColdUntil(untilMs: number): void {
    this.#coldUntilMs = untilMs;
  }

  /** The upstream told its load. */
  onReport(report: OccupancyReport, nowMs: number): void {
    this.#report = report;
    this.#reportedAtMs = nowMs;
    this.#silentAtMs = -Infinity;
    this.#sentSinceReport = 0;
    this.slots = report.slots;
  }

  /** A request was sent. */
  onSend(): void {
    this.#inFlight += 1;
    this.#sentSinceReport += 1;
  }

  /** A request ended. */
  onEnd(end: OutlookEnd, nowMs: number): void {
    this.#inFlight -= 1;
    if (end === 'cancelled') {
      return;
    }
    const isAnswered = end === 'answered';
    this.#hasServed ||= isAnswered;
    if (isAnswered) {
      this.#silentAtMs = -Infinity;
    }
    this.#onOutcome(!isAnswered, nowMs);
    this.#level.onOutcome(!isAnswered, nowMs);
  }

  /** It can't be reached, or leaves a load query unanswered; a report or an answer ends this. */
  onSilence(nowMs: number): void {
    this.#silentAtMs = nowMs;
    this.#onOutcome(true, nowMs);
  }

  /** An answer took `factor` times as long as its estimate. */
  onPace(factor: number, nowMs: number): void {
    const learned = this.#learnedSlowdown(nowMs);
    const next = learned + LEARNED_WEIGHT * (factor * learned - learned);
    this.#learned = clamp(next, LEARNED_MINIMUM, LEARNED_MAXIMUM);
    this.#learnedAtMs = nowMs;
  }

  /** Share of requests that are expected to fail; what was seen here fades into what others like it show. */
  failureShare(nowMs: number): number {
    const level = this.#level.share(nowMs);
    const ageMs = nowMs - this.#failureAtMs;
    const trust = 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
    const share = level + (this.#failureShare - level) * trust;
    const isSilent = nowMs - this.#silentAtMs < SILENCE_MEMORY_MS;
    return isSilent ? Math.max(share, SILENT_SHARE) : share;
  }

  /** Requests that run or wait there, as far as is known. */
  occupancy(nowMs: number): number {
    if (
      this.#report === undefined ||
      this.reportAgeMs(nowMs) > REPORT_LIFETIME_MS
    ) {
      return this.#inFlight;
    }
    const reported = this.#report.running + this.#report.waiting;
    return Math.max(reported + this.#sentSinceReport, this.#inFlight);
  }

  /** Slots that are free for one more request. */
  freeSlots(nowMs: number): number {
    return this.slots - this.occupancy(nowMs);
  }

  /** How many times as long as usual work takes there now. */
  slowdown(nowMs: number): number {
    const cold = nowMs < this.#coldUntilMs ? COLD_SLOWDOWN : 1;
    return this.#reportedSlowdown(nowMs) * this.#learnedSlowdown(nowMs) * cold;
  }

  /** Milliseconds until the answer of a request that is sent now. */
  estimateMs({nowMs, workMs}: OutlookQuery): number {
    const occupancy = this.occupancy(nowMs) + 1;
    const knee = occupancy > this.slots * KNEE_SHARE ? KNEE_SLOWDOWN : 1;
    const queued = Math.max(0, occupancy - this.slots);
    const runMs = workMs * this.slowdown(nowMs) * knee;
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
    const trust = Math.exp(-this.reportAgeMs(nowMs) / SLOWDOWN_MEMORY_MS);
    return USUAL_SLOWDOWN + (this.#report.slowdown - USUAL_SLOWDOWN) * trust;
  }

  #learnedSlowdown(nowMs: number): number {
    const ageMs = nowMs - this.#learnedAtMs;
    return 1 + (this.#learned - 1) * 0.5 ** (ageMs / LEARNED_HALF_LIFE_MS);
  }
}

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(Math.max(value, minimum), maximum);
}
