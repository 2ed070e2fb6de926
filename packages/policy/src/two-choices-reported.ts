/**
 * Two random choices by requests in flight at the upstream, from aged reports.
 * Source: Mitzenmacher, "How Useful Is Old Information?", 2000.
 */

import {PairSelection} from './pair-selection.js';
import {RequestEstimate} from './request-estimate.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Two random choices by own requests in flight and aged reports. */
export class TwoChoicesReportedSelection extends PairSelection {
  readonly #estimate = new RequestEstimate();

  protected override countRequests(load: UpstreamLoad, nowMs: number): number {
    return this.#estimate.at(load, nowMs);
  }
}
