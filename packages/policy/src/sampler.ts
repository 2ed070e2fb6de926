/** Random sampling of candidates, weighted by their shares of the work. */

import type {RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Maximum number of draws; the last one is accepted regardless of its share. */
const MAXIMUM_DRAWS = 6;

/** Resolution of a share in a random draw. */
const SHARE_STEPS = 1_024;

/** Draws candidates at random, each with a probability in proportion to its share of the work. */
export class Sampler {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Returns an integer from 0 up to, but not including, `bound`. */
  nextBelow(bound: number): number {
    return this.#random.nextBelow(bound);
  }

  /** Accepts a candidate at random, with its share as the probability. */
  accepts(candidate: UpstreamLoad, nowMs: number): boolean {
    const share = candidate.shareAt(nowMs);
    return (
      share >= 1 || this.#random.nextBelow(SHARE_STEPS) < share * SHARE_STEPS
    );
  }

  /** Returns the index of a candidate drawn by share. `candidates` must not be empty. */
  draw(candidates: readonly UpstreamLoad[], nowMs: number): number {
    let index = this.#random.nextBelow(candidates.length);
    for (let drawn = 1; drawn < MAXIMUM_DRAWS; drawn += 1) {
      if (this.accepts(candidates[index], nowMs)) {
        return index;
      }
      index = this.#random.nextBelow(candidates.length);
    }
    return index;
  }

  /** Like `draw`, but avoids the index `excluded` unless no other candidate exists or the one drawn instead is rejected by its share. */
  drawOther(
    candidates: readonly UpstreamLoad[],
    excluded: number,
    nowMs: number,
  ): number {
    const index = this.draw(candidates, nowMs);
    if (index !== excluded || candidates.length < 2) {
      return index;
    }
    const step = 1 + this.#random.nextBelow(candidates.length - 1);
    const other = (excluded + step) % candidates.length;
    return this.accepts(candidates[other], nowMs) ? other : excluded;
  }
}
