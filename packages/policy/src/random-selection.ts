/** Random selection. */

import {Sampler} from './sampler.js';
import {Selection, type RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Selects a candidate at random, weighted by its share of the work. */
export class RandomSelection extends Selection {
  readonly #sampler: Sampler;

  constructor(random: RandomSource) {
    super();
    this.#sampler = new Sampler(random);
  }

  override select(
    candidates: readonly UpstreamLoad[],
    nowMs: number,
  ): UpstreamLoad | undefined {
    return candidates.length < 2
      ? candidates[0]
      : candidates[this.#sampler.draw(candidates, nowMs)];
  }
}
