/** Weighted round robin over targets; even short runs of requests follow the weights. */

/** A target and its weight, relative to those of the others. */
export interface WeightedTarget {
  readonly name: string;
  readonly weight: number;
}

/** Smooth weighted round robin: each turn adds every target's weight to its credit and selects the one with the most credit. */
export class WeightedRoundRobin {
  readonly #targets: readonly WeightedTarget[];
  readonly #credits: number[];
  readonly #total: number;

  /** @param phase Start within the cycle, from 0 to 1; entries with different phases don't select the same targets in step. */
  constructor(targets: readonly WeightedTarget[], phase = 0) {
    this.#targets = targets;
    this.#total = targets.reduce((sum, {weight}) => sum + weight, 0);
    this.#credits = targets.map(({weight}) => phase * weight);
  }

  /** Returns the name of the next request's target; undefined when none has a weight above 0. */
  next(): string | undefined {
    let best = -1;
    for (let index = 0; index < this.#targets.length; index++) {
      this.#credits[index] += this.#targets[index].weight;
      const isBetter =
        best === -1 || this.#credits[index] > this.#credits[best];
      if (isBetter && this.#targets[index].weight > 0) {
        best = index;
      }
    }
    if (best === -1) {
      return undefined;
    }
    this.#credits[best] -= this.#total;
    return this.#targets[best].name;
  }
}
