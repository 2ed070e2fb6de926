/**
 * How many slots there are, while processes learn of a change one after
 * another. Until a count is settled, a process goes by the lowest count it
 * heard of for the slots it may hold, and by the highest for its share, so
 * that the shares of all slots never exceed the whole.
 */

/** A count of slots as a process is told of it. */
export interface SlotCount {
  readonly count: number;
  /** Whether every process that may hold a slot was told this very count as its latest. */
  readonly isSettled: boolean;
}

/** Tracks the counts that one process was told. */
export class SlotCountTracker {
  readonly #settleMs: number;
  #lowest = 0;
  #highest = 0;
  #latest = 0;
  #settlingSinceMs: number | undefined;

  /** @param settleMs How long a count must be told as settled before it is gone by, in milliseconds. */
  constructor(settleMs: number) {
    this.#settleMs = settleMs;
  }

  /** Takes a count at `nowMs`. */
  tell({count, isSettled}: SlotCount, nowMs: number): void {
    this.#settle(nowMs);
    const isSettlingStill = isSettled && count === this.#latest;
    this.#latest = count;
    this.#lowest = Math.min(this.#lowest, count);
    this.#highest = Math.max(this.#highest, count);
    this.#settlingSinceMs = isSettled
      ? ((isSettlingStill ? this.#settlingSinceMs : undefined) ?? nowMs)
      : undefined;
    this.#settle(nowMs);
  }

  /** Slots with lower numbers may be held at `nowMs`. */
  toUsable(nowMs: number): number {
    this.#settle(nowMs);
    return this.#lowest;
  }

  /** Of how many equal shares one slot is at `nowMs`. */
  toShares(nowMs: number): number {
    this.#settle(nowMs);
    return this.#highest;
  }

  #settle(nowMs: number): void {
    const sinceMs = this.#settlingSinceMs;
    if (sinceMs !== undefined && nowMs - sinceMs >= this.#settleMs) {
      this.#lowest = this.#latest;
      this.#highest = this.#latest;
    }
  }
}
