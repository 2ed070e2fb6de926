/**
 * Decides which requests may use what the limits of upstreams leave, and when
 * those that are refused should come back: a request waits for no limit, and
 * gives way to more urgent ones that were just refused.
 */

import {SECOND_MS} from '@wasabidyke/shared';
import type {RandomSource} from './selection.js';

/** Time for which a refused request keeps less urgent ones from limited upstreams, in milliseconds: it comes back within it. */
const PRECEDENCE_MS = SECOND_MS;

/** Time over which refused requests are counted, in milliseconds. */
const COUNTING_MS = SECOND_MS;

/** Minimum and maximum time until a refused request should come back, before jitter, in milliseconds. */
const MINIMUM_WAIT_MS = 500;
const MAXIMUM_WAIT_MS = 5_000;

const PERMILLE = 1_000;

/** A request that was refused because of limits. */
interface RefusedRequest {
  readonly priority: number;
  readonly atMs: number;
}

/** Admission of the requests of one service to upstreams with limits. */
export class LimitedAdmission {
  readonly #random: RandomSource;
  #refused: RefusedRequest[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Whether a request may use a limited upstream. @param priority 0 is the most urgent. */
  mayUse(priority: number, nowMs: number): boolean {
    return !this.#refused.some(
      refused =>
        refused.priority < priority && refused.atMs > nowMs - PRECEDENCE_MS,
    );
  }

  /**
   * Records a refused request; returns when it should come back, in
   * milliseconds. Callers are spread over the time that the limits take for
   * all that were refused lately, so that they do not return together.
   */
  refuse(priority: number, ratePerSecond: number, nowMs: number): number {
    this.#refused = this.#refused.filter(
      ({atMs}) => atMs > nowMs - COUNTING_MS,
    );
    this.#refused.push({priority, atMs: nowMs});
    const neededMs = (this.#refused.length * SECOND_MS) / ratePerSecond;
    const waitMs = Math.min(
      Math.max(neededMs, MINIMUM_WAIT_MS),
      MAXIMUM_WAIT_MS,
    );
    const draw = this.#random.nextBelow(PERMILLE) / PERMILLE;
    return (waitMs * (1 + draw)) / 2;
  }
}
