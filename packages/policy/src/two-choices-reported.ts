/**
 * Two random choices by requests in flight at the upstream, from aged reports.
 * Source: Mitzenmacher, "How Useful Is Old Information?", 2000.
 */

import {RequestEstimate} from './request-estimate.js';
import {Sampler} from './sampler.js';
import {Selection, type RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Two random choices by own requests in flight and aged reports. */
export class TwoChoicesReportedSelection extends Selection {
  readonly #sampler: Sampler;
  readonly #estimate = new RequestEstimate();

  constructor(random: RandomSource) {
    super();
    this.#sampler = new Sampler(random);
  }

  override select(
    candidates: readonly UpstreamLoad[],
    nowMs: number,
  ): UpstreamLoad | undefined {
    if (candidates.length < 2) {
      return candidates[0];
    }
    const first = this.#sampler.draw(candidates, nowMs);
    const second = this.#sampler.drawOther(candidates, first, nowMs);
    const firstRequests = this.#estimate.at(candidates[first], nowMs);
    const secondRequests = this.#estimate.at(candidates[second], nowMs);
    return candidates[secondRequests < firstRequests ? second : first];
  }
}
