/** Estimates the requests at an upstream from this entry's own and an aged report. */

import type {UpstreamLoad} from './upstream-load.js';

/** Weight of the newest report in the average over upstreams. */
const TYPICAL_WEIGHT = 0.02;

/**
 * Estimates the requests at an upstream. As a report ages, the requests of
 * other entries fall back to what is usual over all upstreams, so that old
 * reports neither attract nor repel work.
 */
export class RequestEstimate {
  #typicalOthers = 0;

  /** Requests running or waiting at `candidate`, of this entry and all others. */
  at(candidate: UpstreamLoad, nowMs: number): number {
    const weight = candidate.reportWeightAt(nowMs);
    const difference = candidate.reportedByOthers - this.#typicalOthers;
    this.#typicalOthers += TYPICAL_WEIGHT * weight * difference;
    return candidate.inFlight + this.#typicalOthers + weight * difference;
  }
}
