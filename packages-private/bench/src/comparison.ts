/** Comparison of two arms by the ratio of a figure, with its spread over pairs. */

import {round} from './latency-record.js';

/** A ratio over all pairs, and its spread. */
export interface Ratio {
  /** Ratio of the figures over all rounds together. */
  readonly whole: number;
  /** Ratio in each pair, in their order. */
  readonly pairs: readonly number[];
  readonly medianOfPairs: number;
  readonly lowestOfPairs: number;
  readonly highestOfPairs: number;
}

/** Compares `left` to `right`: the whole, and pair by pair. */
export function compare(
  whole: readonly [left: number, right: number],
  left: readonly number[],
  right: readonly number[],
): Ratio {
  const pairs = left.map((value, index) => round(value / right[index]));
  const sorted = pairs.toSorted((first, second) => first - second);
  return {
    whole: round(whole[0] / whole[1]),
    pairs,
    medianOfPairs: sorted[Math.floor(sorted.length / 2)],
    lowestOfPairs: sorted[0],
    highestOfPairs: sorted[sorted.length - 1],
  };
}
