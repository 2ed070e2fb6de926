/** Deals requests to weighted targets in turn, so that even short spans keep to the weights. */

/** A target and its share of the work. */
export interface WeightedTarget {
  readonly name: string;
  readonly weight: number;
}

/** Smooth weighted round robin: each turn credits every target and takes the one with the most credit. */
export class WeightedTurn {
  readonly #targets: readonly WeightedTarget[];
  readonly #credits: number[];
  readonly #total: number;

  /** @param phase From 0 to 1; entries with different phases don't deal in step. */
  constructor(targets: readonly WeightedTarget[], phase = 0) {
    this.#targets = targets;
    this.#total = targets.reduce((sum, {weight}) => sum + weight, 0);
    this.#credits = targets.map(({weight}) => phase * weight);
  }

  /** The target of the next request; undefined where there is none. */
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
