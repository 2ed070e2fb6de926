/** Selection between two random candidates. */

import {Sampler} from './sampler.js';
import {Selection, type RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Draws two candidates and selects the one with fewer requests; subclasses define how these are counted. */
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

  /** Returns the estimated number of requests at an upstream; may be a fraction. */
  protected abstract countRequests(load: UpstreamLoad, nowMs: number): number;
}
