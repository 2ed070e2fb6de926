/**
 * Two random choices, the one with fewer requests in flight wins.
 * Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
 */

import {Selection, type RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Two random choices by this entry's own requests in flight. */
export class TwoChoicesSelection extends Selection {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    super();
    this.#random = random;
  }

  override select(
    candidates: readonly UpstreamLoad[],
  ): UpstreamLoad | undefined {
    if (candidates.length < 2) {
      return candidates[0];
    }
    const first = this.#random.nextBelow(candidates.length);
    const step = 1 + this.#random.nextBelow(candidates.length - 1);
    const second = (first + step) % candidates.length;
    const isSecondBetter =
      candidates[second].inFlight < candidates[first].inFlight;
    return candidates[isSecondBetter ? second : first];
  }
}
