/** What one entry knows about the load of one upstream. */

import type {Upstream} from '@wasabidyke/manifest';
import type {LoadReport} from './load-report.js';
import {ReportedLoad} from './reported-load.js';
import {UpstreamShare} from './upstream-share.js';

/** How far an upstream is from this entry. */
export type Distance = 'same-zone' | 'same-region' | 'other-region';

/** How a request to an upstream ended, as far as selection cares. */
export type AttemptEnd = 'answered' | 'failed' | 'shed' | 'cancelled';

/** Weight of the newest latency in the moving average. */
const LATENCY_WEIGHT = 0.3;

/** What one entry knows about the load of one upstream. */
export class UpstreamLoad {
  readonly distance: Distance;
  readonly #share = new UpstreamShare();
  readonly #reported = new ReportedLoad();
  #upstream: Upstream;
  #inFlight = 0;
  #startSumMs = 0;
  #timed = 0;
  #latencyMs = 0;
  #latencyAtMs = -Infinity;
  #lastDurationMs = 0;
  #newestMs = 0;

  constructor(upstream: Upstream, distance: Distance) {
    this.#upstream = upstream;
    this.distance = distance;
  }

  get upstream(): Upstream {
    return this.#upstream;
  }

  /** Requests that this entry has under way at the upstream. */
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

  /** When the newest answer came, in milliseconds; -Infinity before the first one. */
  get latencyAtMs(): number {
    return this.#latencyAtMs;
  }

  /** The newest report, if the upstream ever gave one. */
  get report(): LoadReport | undefined {
    return this.#reported.report;
  }

  /** Takes over a changed description of the same upstream. */
  applyUpstream(upstream: Upstream): void {
    this.#upstream = upstream;
  }

  /** The upstream is new, or has come back: its share of the work rises from `nowMs` on. */
  beginRamp(nowMs: number): void {
    this.#share.beginRamp(nowMs);
  }

  /**
   * A request is sent to the upstream.
   * @param nowMs This process's monotonic clock; the same is then given to `onEnd`.
   */
  onStart(nowMs?: number): void {
    this.#inFlight += 1;
    if (nowMs !== undefined) {
      this.#newestMs = nowMs;
      this.#timed += 1;
      this.#startSumMs += nowMs;
    }
  }

  /** A request to the upstream has ended after `durationMs`. */
  onEnd(end: AttemptEnd, durationMs: number, endMs?: number): void {
    const nowMs = endMs ?? this.#newestMs;
    this.#newestMs = nowMs;
    this.#inFlight -= 1;
    if (endMs !== undefined) {
      this.#timed -= 1;
      this.#startSumMs -= endMs - durationMs;
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

  /** The upstream reported its load. Older reports than the present one are dropped. */
  onReport(report: LoadReport): void {
    this.#newestMs = Math.max(this.#newestMs, report.madeAtMs);
    this.#reported.apply(report, this.#inFlight);
  }

  /** The share of its usual work that the upstream is given: above 0, at most 1. */
  shareAt(nowMs: number): number {
    return this.#share.at(nowMs);
  }

  /** How far the newest report is believed at `nowMs`, from 0 to 1. */
  reportWeightAt(nowMs: number): number {
    return this.#reported.weightAt(nowMs);
  }

  /** Requests of other entries that the newest report implies; 0 before the first report. */
  get reportedByOthers(): number {
    return this.#reported.others;
  }

  /** Mean time that the requests in flight have been under way, in milliseconds. */
  meanAgeMs(nowMs: number): number {
    return this.#timed <= 0
      ? 0
      : Math.max(0, nowMs - this.#startSumMs / this.#timed);
  }

  #applyLatency(durationMs: number, nowMs: number): void {
    const weight = this.#latencyMs === 0 ? 1 : LATENCY_WEIGHT;
    this.#latencyMs += weight * (durationMs - this.#latencyMs);
    this.#latencyAtMs = nowMs;
    this.#lastDurationMs = durationMs;
  }
}
