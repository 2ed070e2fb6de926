/**
 * Two random choices by all requests in flight at the upstream, estimated from load reports weighted by age.
 * Source: Mitzenmacher, "How Useful Is Old Information?", 2000.
 */

import {PairSelection} from './pair-selection.js';
import {RequestCountEstimator} from './request-count-estimator.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Compares two random candidates by this entry's own requests in flight and their load reports. */
export class TwoChoicesReportedSelection extends PairSelection {
  readonly #estimator = new RequestCountEstimator();

  protected override countRequests(load: UpstreamLoad, nowMs: number): number {
    return this.#estimator.estimate(load, nowMs);
  }
}
