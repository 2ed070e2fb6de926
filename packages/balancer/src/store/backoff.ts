/** Growing delays between tries, spread so that entries don't try in step. */

import type {RandomSource} from '@wasabidyke/policy';

/** Growing delays. */
export class Backoff {
  readonly #shortestMs: number;
  readonly #longestMs: number;
  readonly #random: RandomSource;
  #nextMs: number;

  constructor(shortestMs: number, longestMs: number, random: RandomSource) {
    this.#shortestMs = shortestMs;
    this.#longestMs = longestMs;
    this.#random = random;
    this.#nextMs = shortestMs;
  }

  /** The next delay in milliseconds: from half to all of what it has grown to. */
  next(): number {
    const grownMs = this.#nextMs;
    this.#nextMs = Math.min(grownMs * 2, this.#longestMs);
    return grownMs / 2 + this.#random.nextBelow(Math.ceil(grownMs / 2));
  }

  /** A try succeeded. */
  reset(): void {
    this.#nextMs = this.#shortestMs;
  }
}
