/** A token bucket: spending that never exceeds a rate, but for what was saved up. */

import {SECOND_MS} from '@wasabidyke/shared';

/** How a bucket fills and what it holds. */
export interface TokenBucketOptions {
  /** Tokens that come in a second. */
  readonly ratePerSecond: number;
  /** Tokens of how many milliseconds may be saved up. */
  readonly capacityMs: number;
  /** Tokens that may be saved up at least: the largest amount that is taken at once. */
  readonly minimumCapacity: number;
  /** On the monotonic clock. */
  readonly nowMs: number;
}

/**
 * A token bucket that starts empty. What is taken in any time exceeds the rate
 * by the capacity at most.
 */
export class TokenBucket {
  readonly #capacityMs: number;
  readonly #minimumCapacity: number;
  #ratePerMs: number;
  #tokens = 0;
  #filledAtMs: number;

  constructor(options: TokenBucketOptions) {
    this.#ratePerMs = options.ratePerSecond / SECOND_MS;
    this.#capacityMs = options.capacityMs;
    this.#minimumCapacity = options.minimumCapacity;
    this.#filledAtMs = options.nowMs;
  }

  /** Changes the rate; what is saved beyond the new capacity is lost. */
  applyRate(ratePerSecond: number, nowMs: number): void {
    this.#fill(nowMs);
    this.#ratePerMs = ratePerSecond / SECOND_MS;
    this.#tokens = Math.min(this.#tokens, this.#capacity());
  }

  /** Empties the bucket; it fills from `nowMs` on. */
  clear(nowMs: number): void {
    this.#tokens = 0;
    this.#filledAtMs = nowMs;
  }

  /** Whether `amount` could be taken now. */
  has(amount: number, nowMs: number): boolean {
    this.#fill(nowMs);
    return this.#tokens >= amount;
  }

  /** Takes `amount`, or nothing when there is less. */
  take(amount: number, nowMs: number): boolean {
    if (!this.has(amount, nowMs)) {
      return false;
    }
    this.#tokens -= amount;
    return true;
  }

  #capacity(): number {
    const saved = this.#ratePerMs * this.#capacityMs;
    return this.#ratePerMs === 0 ? 0 : Math.max(saved, this.#minimumCapacity);
  }

  #fill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#filledAtMs);
    const filled = this.#tokens + elapsedMs * this.#ratePerMs;
    this.#tokens = Math.min(filled, this.#capacity());
    this.#filledAtMs = nowMs;
  }
}
