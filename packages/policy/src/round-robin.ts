/** Round-robin selection. */

import {Sampler} from './sampler.js';
import {Selection, type RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Selects the candidates in turn; one with a reduced share of the work is skipped that much more often. */
export class RoundRobinSelection extends Selection {
  readonly #sampler: Sampler;
  #next: number | undefined;

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
    for (let passed = 0; passed < candidates.length; passed += 1) {
      const candidate = candidates[this.#advance(candidates.length)];
      if (this.#sampler.accepts(candidate, nowMs)) {
        return candidate;
      }
    }
    return candidates[this.#advance(candidates.length)];
  }

  /** Starts at a random index, so that entries don't select the same upstreams in step. */
  #advance(length: number): number {
    const index = (this.#next ?? this.#sampler.nextBelow(length)) % length;
    this.#next = index + 1;
    return index;
  }
}
