/** Draws how long runs take. */

import type {RandomSource} from '@wasabidyke/policy';
import type {Noise, ServiceTime} from './settings.js';

const RESOLUTION = 2 ** 30;

/** A uniform number in (0, 1]. */
export function drawUniform(random: RandomSource): number {
  return (random.nextBelow(RESOLUTION) + 1) / RESOLUTION;
}

function drawExponential(random: RandomSource, mean: number): number {
  return -Math.log(drawUniform(random)) * mean;
}

function drawNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(drawUniform(random)));
  return radius * Math.cos(2 * Math.PI * drawUniform(random));
}

/** A service time in milliseconds. */
export function drawServiceTime(
  random: RandomSource,
  serviceTime: ServiceTime,
): number {
  const {meanMs, distribution, sigma} = serviceTime;
  switch (distribution) {
    case 'constant':
      return meanMs;
    case 'exponential':
      return drawExponential(random, meanMs);
    case 'log-normal':
      return meanMs * Math.exp(sigma * drawNormal(random) - sigma ** 2 / 2);
  }
}

/** Rounds to whole milliseconds so that the mean stays. */
export function roundAtRandom(random: RandomSource, value: number): number {
  const whole = Math.floor(value);
  return drawUniform(random) <= value - whole ? whole + 1 : whole;
}

/** A VM's neighbour: busy and quiet by turns, for exponentially distributed times. */
export class Neighbour {
  readonly #random: RandomSource;
  readonly #noise: Noise;
  #isBusy = false;
  #changesAtMs = 0;

  constructor(random: RandomSource, noise: Noise) {
    this.#random = random;
    this.#noise = noise;
  }

  /** What service times are multiplied by now. */
  readFactor(nowMs: number): number {
    if (this.#changesAtMs === 0) {
      this.#changesAtMs =
        nowMs + drawExponential(this.#random, this.#noise.meanQuietMs);
    }
    while (this.#changesAtMs <= nowMs) {
      this.#isBusy = !this.#isBusy;
      const {meanBusyMs, meanQuietMs} = this.#noise;
      const meanMs = this.#isBusy ? meanBusyMs : meanQuietMs;
      this.#changesAtMs += drawExponential(this.#random, meanMs);
    }
    return this.#isBusy ? this.#noise.factor : 1;
  }
}
