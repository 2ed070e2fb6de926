/**
 * What an entry may let through of an account while no entry answers for its
 * quota. With many entries, one token each would exceed the tolerance, so that
 * each entry may use its token only for a short time of its own; unused ones
 * don't add up.
 */

import {
  reservePerWindow,
  type Quota,
  type QuotaTolerance,
} from './quota-tolerance.js';
import type {RandomSource} from './selection.js';

/** Factor on the time between two tokens: the times of the entries are random, so that more than the mean may coincide. */
const COINCIDENCE_FACTOR = 2;

const PERMILLE = 1_000;

/** The reserve of one account at one entry. */
export class QuotaReserve {
  readonly #tolerance: QuotaTolerance;
  readonly #random: RandomSource;
  #fromMs: number | undefined;

  constructor(tolerance: QuotaTolerance, random: RandomSource) {
    this.#tolerance = tolerance;
    this.#random = random;
  }

  /** Takes a token. @param entries Number of entries that may fall back at the same time. */
  take(quota: Quota, entries: number, nowMs: number): boolean {
    const periodMs = this.#periodMs(quota, entries);
    if (!Number.isFinite(periodMs)) {
      return false;
    }
    if (this.#fromMs === undefined) {
      this.#fromMs = nowMs + this.#draw(periodMs);
    }
    const usableMs = Math.min(periodMs, this.#tolerance.windowMs);
    if (nowMs >= this.#fromMs + usableMs) {
      const missed = Math.ceil((nowMs - this.#fromMs - usableMs) / periodMs);
      this.#fromMs += Math.max(1, missed) * periodMs;
    }
    // A quota that was raised must not wait for the long period of a low one.
    this.#fromMs = Math.min(this.#fromMs, nowMs + periodMs);
    if (nowMs < this.#fromMs || nowMs >= this.#fromMs + usableMs) {
      return false;
    }
    this.#fromMs = Math.max(this.#fromMs + periodMs, nowMs);
    return true;
  }

  /** Time between two tokens. In any window an entry has at most window / period + 1 of them. */
  #periodMs(quota: Quota, entries: number): number {
    const {windowMs} = this.#tolerance;
    const perEntry = reservePerWindow(quota, this.#tolerance) / entries;
    return (2 * windowMs * COINCIDENCE_FACTOR) / perEntry;
  }

  #draw(periodMs: number): number {
    return (periodMs * this.#random.nextBelow(PERMILLE)) / PERMILLE;
  }
}
