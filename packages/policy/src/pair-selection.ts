/** Two random choices, of which the one with fewer requests wins. */

import {Sampler} from './sampler.js';
import {Selection, type RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Draws two candidates; what counts as their requests varies. */
export abstract class PairSelection extends Selection {
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
    const firstRequests = this.countRequests(candidates[first], nowMs);
    const secondRequests = this.countRequests(candidates[second], nowMs);
    return candidates[secondRequests < firstRequests ? second : first];
  }

  /** Requests believed to be at an upstream; may be a fraction. */
  protected abstract countRequests(load: UpstreamLoad, nowMs: number): number;
}
