/** Estimates how long an upstream takes to answer now. */

import type {UpstreamLoad} from './upstream-load.js';

/** Time in which a latency loses half of its weight, in milliseconds. */
const LATENCY_HALF_LIFE_MS = 500;

/** Weight of the newest latency in the average over upstreams. */
const TYPICAL_WEIGHT = 0.02;

/**
 * Estimates how long an upstream takes to answer. As the newest answer ages,
 * the estimate falls back to what is usual over all upstreams; a request that
 * is under way for longer raises it before there is an answer.
 */
export class LatencyEstimate {
  #typicalMs = 0;

  /** Expected time to answer of `candidate`, in milliseconds. */
  at(candidate: UpstreamLoad, nowMs: number): number {
    const ageMs = nowMs - candidate.latencyAtMs;
    const weight =
      candidate.latencyMs === 0
        ? 0
        : 2 ** (-Math.max(0, ageMs) / LATENCY_HALF_LIFE_MS);
    const difference = candidate.latencyMs - this.#typicalMs;
    this.#typicalMs += TYPICAL_WEIGHT * weight * difference;
    const expectedMs = this.#typicalMs + weight * difference;
    return Math.max(expectedMs, candidate.meanAgeMs(nowMs));
  }
}
