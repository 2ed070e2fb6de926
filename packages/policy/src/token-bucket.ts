/** A token bucket: spending that never exceeds a rate, but for what was saved up. */

/** A token bucket that starts empty. */
export class TokenBucket {
  readonly #capacityMs: number;
  #ratePerMs: number;
  #tokens = 0;
  #filledAtMs: number;

  /**
   * @param ratePerSecond Tokens that come in a second.
   * @param capacityMs Tokens of how many milliseconds may be saved up.
   */
  constructor(ratePerSecond: number, capacityMs: number, nowMs: number) {
    this.#ratePerMs = ratePerSecond / 1_000;
    this.#capacityMs = capacityMs;
    this.#filledAtMs = nowMs;
  }

  /** Changes the rate; what is saved beyond the new capacity is lost. */
  applyRate(ratePerSecond: number, nowMs: number): void {
    this.#fill(nowMs);
    this.#ratePerMs = ratePerSecond / 1_000;
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
    return this.#ratePerMs * this.#capacityMs;
  }

  #fill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#filledAtMs);
    const filled = this.#tokens + elapsedMs * this.#ratePerMs;
    this.#tokens = Math.min(filled, this.#capacity());
    this.#filledAtMs = nowMs;
  }
}
