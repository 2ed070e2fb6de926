/**
 * Two random choices, the one with fewer requests in flight wins.
 * Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
 */

import {Sampler} from './sampler.js';
import {Selection, type RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Two random choices by this entry's own requests in flight. */
export class TwoChoicesSelection extends Selection {
  readonly #sampler: Sampler;

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
    const isSecondBetter =
      candidates[second].inFlight < candidates[first].inFlight;
    return candidates[isSecondBetter ? second : first];
  }
}
