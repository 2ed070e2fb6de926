/** Random numbers from a seeded generator, so that a run is reproducible. */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {RandomSource} from './selection.js';

/** A random source that gives the same numbers for the same seed. */
export class SeededRandom extends RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    super();
    this.#generator = xoroshiro128plus(seed);
  }

  override nextBelow(bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1);
  }
}
