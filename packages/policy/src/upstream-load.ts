/** One entry's view of the load of an upstream. */

import type {Upstream} from '@wasabidyke/manifest';
import type {LoadReport} from './load-report.js';
import {ReportedLoad} from './reported-load.js';
import {UpstreamShare} from './upstream-share.js';

/** Distance of an upstream from this entry. */
export type Distance = 'same-zone' | 'same-region' | 'other-region';

/** How an attempt at an upstream ended, as far as it affects selection. */
export type AttemptEnd = 'answered' | 'failed' | 'shed' | 'cancelled';

/** Weight of the newest latency in the moving average. */
const NEWEST_LATENCY_WEIGHT = 0.3;

/** One entry's view of the load of an upstream: its requests in flight, latency, share of the work and load reports. */
export class UpstreamLoad {
  readonly distance: Distance;
  readonly #share = new UpstreamShare();
  readonly #reported = new ReportedLoad();
  #upstream: Upstream;
  #inFlight = 0;
  #startTimesSumMs = 0;
  #timedInFlight = 0;
  #latencyMs = 0;
  #latencyAtMs = -Infinity;
  #lastDurationMs = 0;
  #latestEventMs = 0;

  constructor(upstream: Upstream, distance: Distance) {
    this.#upstream = upstream;
    this.distance = distance;
  }

  get upstream(): Upstream {
    return this.#upstream;
  }

  /** Number of this entry's requests in flight at the upstream. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Moving average of the time to answer, in milliseconds; 0 before the first answer. */
  get latencyMs(): number {
    return this.#latencyMs;
  }

  /** Time to the newest answer, in milliseconds; 0 before the first one. */
  get lastDurationMs(): number {
    return this.#lastDurationMs;
  }

  /** When the newest answer arrived, in milliseconds on the monotonic clock; -Infinity before the first one. */
  get latencyAtMs(): number {
    return this.#latencyAtMs;
  }

  /** The newest load report; undefined before the first one. */
  get report(): LoadReport | undefined {
    return this.#reported.report;
  }

  /** Replaces the description of the upstream. */
  applyUpstream(upstream: Upstream): void {
    this.#upstream = upstream;
  }

  /** Starts the slow start of an upstream that is new or available again: its share of the work rises from `nowMs` on. */
  beginRamp(nowMs: number): void {
    this.#share.beginRamp(nowMs);
  }

  /**
   * Called when a request is sent to the upstream.
   * @param nowMs This process's monotonic clock. If it is passed here, `onEnd` needs `endMs`.
   */
  onStart(nowMs?: number): void {
    this.#inFlight += 1;
    if (nowMs !== undefined) {
      this.#latestEventMs = nowMs;
      this.#timedInFlight += 1;
      this.#startTimesSumMs += nowMs;
    }
  }

  /** Called when a request to the upstream has ended after `durationMs`. */
  onEnd(end: AttemptEnd, durationMs: number, endMs?: number): void {
    const nowMs = endMs ?? this.#latestEventMs;
    this.#latestEventMs = nowMs;
    this.#inFlight -= 1;
    if (endMs !== undefined) {
      this.#timedInFlight -= 1;
      this.#startTimesSumMs -= endMs - durationMs;
    }
    if (end === 'failed') {
      this.#share.onFailure(nowMs);
    } else if (end === 'shed') {
      this.#share.onShed(nowMs);
    } else if (end === 'answered') {
      this.#share.onAnswer();
      this.#applyLatency(durationMs, nowMs);
    }
  }

  /** Called when the upstream has reported its load. A report that isn't newer than the current one is ignored. */
  onReport(report: LoadReport): void {
    this.#latestEventMs = Math.max(this.#latestEventMs, report.madeAtMs);
    this.#reported.apply(report, this.#inFlight);
  }

  /** Returns the share of its normal work that the upstream is given: above 0, at most 1. */
  shareAt(nowMs: number): number {
    return this.#share.at(nowMs);
  }

  /** Returns the weight of the newest report at `nowMs`, from 0 to 1. */
  reportWeightAt(nowMs: number): number {
    return this.#reported.weightAt(nowMs);
  }

  /** Number of requests of other entries according to the newest report; 0 before the first one. */
  get reportedOtherRequests(): number {
    return this.#reported.otherRequests;
  }

  /** Returns the mean age of the requests in flight whose start time is known, in milliseconds. */
  meanAgeMs(nowMs: number): number {
    return this.#timedInFlight <= 0
      ? 0
      : Math.max(0, nowMs - this.#startTimesSumMs / this.#timedInFlight);
  }

  #applyLatency(durationMs: number, nowMs: number): void {
    const weight = this.#latencyMs === 0 ? 1 : NEWEST_LATENCY_WEIGHT;
    this.#latencyMs += weight * (durationMs - this.#latencyMs);
    this.#latencyAtMs = nowMs;
    this.#lastDurationMs = durationMs;
  }
}
