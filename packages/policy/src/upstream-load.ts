/** What one entry knows about the load of one upstream. */

import type {Upstream} from '@wasabidyke/manifest';

/** How far an upstream is from this entry. */
export type Distance = 'same-zone' | 'same-region' | 'other-region';

/** A load report that an upstream gave, with its age. */
export interface LoadReport {
  /** Requests that the upstream said were running or waiting there. */
  readonly requests: number;
  /** When the report was made, on this process's monotonic clock, in milliseconds. */
  readonly madeAtMs: number;
}

/** How a request to an upstream ended, as far as selection cares. */
export type AttemptEnd = 'answered' | 'failed' | 'shed' | 'cancelled';

/** Weight of the newest latency in the moving average. */
const LATENCY_WEIGHT = 0.1;

/** What one entry knows about the load of one upstream. */
export class UpstreamLoad {
  readonly distance: Distance;
  #upstream: Upstream;
  #inFlight = 0;
  #latencyMs = 0;
  #report: LoadReport | undefined;

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

  /** The newest report, if the upstream ever gave one. */
  get report(): LoadReport | undefined {
    return this.#report;
  }

  /** Takes over a changed description of the same upstream. */
  applyUpstream(upstream: Upstream): void {
    this.#upstream = upstream;
  }

  /** A request is sent to the upstream. */
  onStart(): void {
    this.#inFlight += 1;
  }

  /** A request to the upstream has ended after `durationMs`. */
  onEnd(end: AttemptEnd, durationMs: number): void {
    this.#inFlight -= 1;
    if (end !== 'answered') {
      return;
    }
    const isFirst = this.#latencyMs === 0;
    const weight = isFirst ? 1 : LATENCY_WEIGHT;
    this.#latencyMs += weight * (durationMs - this.#latencyMs);
  }

  /** The upstream reported its load. Older reports than the present one are dropped. */
  onReport(report: LoadReport): void {
    if (this.#report === undefined || report.madeAtMs > this.#report.madeAtMs) {
      this.#report = report;
    }
  }
}
