/** Estimate of the requests at an upstream from this entry's own ones and the upstream's load report. */

import type {UpstreamLoad} from './upstream-load.js';

/** Weight of a fully weighted report in the moving average over upstreams. */
const NEWEST_REPORT_WEIGHT = 0.02;

/**
 * Estimates the requests at an upstream. As a report ages, the estimate of
 * other entries' requests returns to the average over all upstreams, so that old
 * reports neither attract nor repel work.
 */
export class RequestCountEstimator {
  #meanOtherRequests = 0;

  /** Estimates the requests of all entries that run or wait at `candidate`. */
  estimate(candidate: UpstreamLoad, nowMs: number): number {
    const weight = candidate.reportWeightAt(nowMs);
    const difference =
      candidate.reportedOtherRequests - this.#meanOtherRequests;
    this.#meanOtherRequests += NEWEST_REPORT_WEIGHT * weight * difference;
    return candidate.inFlight + this.#meanOtherRequests + weight * difference;
  }
}
