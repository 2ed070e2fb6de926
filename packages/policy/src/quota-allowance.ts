/**
 * What an entry may grant of an account without the right to it: while it
 * stands in for another one that doesn't answer, and when its own right begins
 * and it isn't known what was granted before. Each process has one for each
 * account.
 */

import {
  doubtPerWindow,
  type Quota,
  type QuotaTolerance,
} from './quota-tolerance.js';

/** An allowance. */
export class QuotaAllowance {
  readonly #tolerance: QuotaTolerance;
  /** When requests were granted by it, oldest first. */
  #grantedAtMs: number[] = [];

  constructor(tolerance: QuotaTolerance) {
    this.#tolerance = tolerance;
  }

  /** Whether nothing was granted by it within a window. */
  isFull(nowMs: number): boolean {
    return this.#countRecent(nowMs) === 0;
  }

  /** Grants as many of `count` requests as are left in the window that ends now. @param regions Number of regions that share it. */
  take(count: number, quota: Quota, regions: number, nowMs: number): number {
    const left = Math.floor(this.#left(quota, regions, nowMs));
    const granted = Math.min(count, left);
    for (let index = 0; index < granted; index++) {
      this.#grantedAtMs.push(nowMs);
    }
    return granted;
  }

  /** What is left beside whole requests, in tokens: a bucket that begins may have it. */
  remainder(quota: Quota, regions: number, nowMs: number): number {
    return this.#left(quota, regions, nowMs) % 1;
  }

  #left(quota: Quota, regions: number, nowMs: number): number {
    const limit = doubtPerWindow(quota, this.#tolerance) / regions;
    return Math.max(0, limit - this.#countRecent(nowMs));
  }

  #countRecent(nowMs: number): number {
    const fromMs = nowMs - this.#tolerance.windowMs;
    const first = this.#grantedAtMs.findIndex(atMs => atMs > fromMs);
    this.#grantedAtMs = first === -1 ? [] : this.#grantedAtMs.slice(first);
    return this.#grantedAtMs.length;
  }
}
