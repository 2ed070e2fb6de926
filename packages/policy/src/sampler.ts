/** Draws candidates at random, each by its share of the work. */

import type {RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Draws before one is taken regardless of its share. */
const MAXIMUM_DRAWS = 6;

/** Steps into which a share is divided when drawn. */
const SHARE_STEPS = 1_024;

/** Draws candidates at random, each by its share of the work. */
export class Sampler {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** A whole number from 0 up to, but not including, `bound`. */
  nextBelow(bound: number): number {
    return this.#random.nextBelow(bound);
  }

  /** Whether a candidate is accepted, in the proportion of its share. */
  accepts(candidate: UpstreamLoad, nowMs: number): boolean {
    const share = candidate.shareAt(nowMs);
    return (
      share >= 1 || this.#random.nextBelow(SHARE_STEPS) < share * SHARE_STEPS
    );
  }

  /** The index of a candidate drawn by share. `candidates` must not be empty. */
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

  /** As `draw`, but avoids `taken` where another candidate can be had. */
  drawOther(
    candidates: readonly UpstreamLoad[],
    taken: number,
    nowMs: number,
  ): number {
    const index = this.draw(candidates, nowMs);
    if (index !== taken || candidates.length < 2) {
      return index;
    }
    const step = 1 + this.#random.nextBelow(candidates.length - 1);
    const other = (taken + step) % candidates.length;
    return this.accepts(candidates[other], nowMs) ? other : taken;
  }
}
