/** Selection of the upstream with the fewest of this entry's own requests in flight. */

import {Selection, type RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Selects the candidate with the fewest own requests in flight in proportion to its share; breaks ties at random. */
export class LeastInFlightSelection extends Selection {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    super();
    this.#random = random;
  }

  override select(
    candidates: readonly UpstreamLoad[],
    nowMs: number,
  ): UpstreamLoad | undefined {
    let best: UpstreamLoad | undefined;
    let bestScore = Infinity;
    let ties = 0;
    for (const candidate of candidates) {
      const score = (candidate.inFlight + 1) / candidate.shareAt(nowMs);
      if (score > bestScore) {
        continue;
      }
      ties = score === bestScore ? ties + 1 : 1;
      bestScore = score;
      if (this.#random.nextBelow(ties) === 0) {
        best = candidate;
      }
    }
    return best;
  }
}
