/** Token bucket: limits a rate, with bursts up to the capacity. */

import {SECOND_MS} from '@wasabidyke/shared';

/** Options of `TokenBucket`. */
export interface TokenBucketOptions {
  /** Tokens added per second. */
  readonly ratePerSecond: number;
  /** Capacity, as the time in which the bucket fills, in milliseconds. */
  readonly capacityMs: number;
  /** Minimum capacity in tokens: the largest amount that is taken at once. */
  readonly minimumCapacity: number;
  /** Current time on the monotonic clock, in milliseconds. */
  readonly nowMs: number;
}

/**
 * A token bucket that starts empty. The tokens taken in any period exceed those
 * of the rate by the capacity at most.
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

  /** Capacity, as the time in which the bucket fills, in milliseconds. */
  get capacityMs(): number {
    return this.#capacityMs;
  }

  /** Changes the rate; tokens beyond the new capacity are discarded. */
  applyRate(ratePerSecond: number, nowMs: number): void {
    this.#fill(nowMs);
    this.#ratePerMs = ratePerSecond / SECOND_MS;
    this.#tokens = Math.min(this.#tokens, this.#capacity());
  }

  /** Empties the bucket; it refills from `nowMs` on. */
  clear(nowMs: number): void {
    this.#tokens = 0;
    this.#filledAtMs = nowMs;
  }

  /** Whether the bucket holds at least `amount` tokens. */
  has(amount: number, nowMs: number): boolean {
    this.#fill(nowMs);
    return this.#tokens >= amount;
  }

  /** Takes `amount` tokens. Returns false and takes none if there are fewer. */
  take(amount: number, nowMs: number): boolean {
    if (!this.has(amount, nowMs)) {
      return false;
    }
    this.#tokens -= amount;
    return true;
  }

  #capacity(): number {
    const accumulated = this.#ratePerMs * this.#capacityMs;
    return this.#ratePerMs === 0
      ? 0
      : Math.max(accumulated, this.#minimumCapacity);
  }

  #fill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#filledAtMs);
    const filled = this.#tokens + elapsedMs * this.#ratePerMs;
    this.#tokens = Math.min(filled, this.#capacity());
    this.#filledAtMs = nowMs;
  }
}
