/** When requests arrive: drawn from a seeded generator, whatever became of earlier ones. */

import type {RandomSource} from '@wasabidyke/policy';
import {SECOND_MS} from '@wasabidyke/shared';
import {z} from 'zod';

/** Resolution of a uniform number. */
const RESOLUTION = 2 ** 30;

/** Rate in a burst over the rate between bursts. */
const BURST_FACTOR = 4;

/** Mean length of a burst, in milliseconds. */
const MEAN_BURST_MS = 50;

/** Mean time between bursts, in milliseconds. */
const MEAN_QUIET_MS = 450;

/** How arrivals are spread over time. */
export const arrivalPatternSchema = z.enum(['poisson', 'bursty']);

/** How arrivals are spread over time. */
export type ArrivalPattern = z.infer<typeof arrivalPatternSchema>;

/** A sequence of arrivals. */
export abstract class Arrivals {
  /** Time of the next arrival, in milliseconds after the start; never falls. */
  abstract nextMs(): number;
}

/** Arrivals independent of each other. */
export class PoissonArrivals extends Arrivals {
  readonly #random: RandomSource;
  readonly #meanGapMs: number;
  #timeMs = 0;

  constructor(random: RandomSource, ratePerSecond: number) {
    super();
    this.#random = random;
    this.#meanGapMs = SECOND_MS / ratePerSecond;
  }

  override nextMs(): number {
    this.#timeMs += drawExponential(this.#random, this.#meanGapMs);
    return this.#timeMs;
  }
}

/** Poisson arrivals whose rate switches between quiet times and bursts. */
export class BurstyArrivals extends Arrivals {
  readonly #random: RandomSource;
  readonly #quietGapMs: number;
  #timeMs = 0;
  #isBurst = true;
  #switchesAtMs = 0;

  constructor(random: RandomSource, ratePerSecond: number) {
    super();
    this.#random = random;
    const burstPart = MEAN_BURST_MS / (MEAN_BURST_MS + MEAN_QUIET_MS);
    const quietRate = ratePerSecond / (1 + burstPart * (BURST_FACTOR - 1));
    this.#quietGapMs = SECOND_MS / quietRate;
  }

  override nextMs(): number {
    let timeMs = this.#timeMs + this.#drawGapMs();
    while (timeMs > this.#switchesAtMs) {
      this.#timeMs = this.#switchesAtMs;
      this.#isBurst = !this.#isBurst;
      const meanMs = this.#isBurst ? MEAN_BURST_MS : MEAN_QUIET_MS;
      this.#switchesAtMs += drawExponential(this.#random, meanMs);
      timeMs = this.#timeMs + this.#drawGapMs();
    }
    this.#timeMs = timeMs;
    return timeMs;
  }

  #drawGapMs(): number {
    const factor = this.#isBurst ? BURST_FACTOR : 1;
    return drawExponential(this.#random, this.#quietGapMs / factor);
  }
}

/** Creates arrivals of a pattern. */
export function createArrivals(
  pattern: ArrivalPattern,
  random: RandomSource,
  ratePerSecond: number,
): Arrivals {
  return pattern === 'poisson'
    ? new PoissonArrivals(random, ratePerSecond)
    : new BurstyArrivals(random, ratePerSecond);
}

function drawExponential(random: RandomSource, mean: number): number {
  const uniform = (random.nextBelow(RESOLUTION) + 1) / RESOLUTION;
  return -Math.log(uniform) * mean;
}
