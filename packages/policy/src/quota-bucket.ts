/** Token bucket of one account in one region; its rate and its capacity change independently of each other. */

import {SECOND_MS} from '@wasabidyke/shared';

/** Longest time to come back that is named, in milliseconds: by then the share of the region may be another. */
const MAXIMUM_COME_BACK_MS = 2_000;

/** Shortest time to come back that is named, in milliseconds: a round trip of a nearby caller. */
const MINIMUM_COME_BACK_MS = 20;

/** Time in which borrowed tokens are used, in milliseconds. */
const BORROWED_MS = 2_000;

/** What a granting entry answers. */
export interface QuotaGrant {
  readonly granted: number;
  /** When the rest may come back, in milliseconds; 0 if all was granted. */
  readonly comeBackMs: number;
}

/** The bucket. */
export class QuotaBucket {
  #ratePerMs = 0;
  #capacity = 0;
  #tokens: number;
  #filledAtMs: number;
  /** Tokens of other regions; they count for no share of this one, and are used first. */
  #borrowed = 0;
  #borrowedUntilMs = -Infinity;
  /** When the last one of those that were told to come back finds a token. */
  #promisedUntilMs = -Infinity;

  /** @param tokens Tokens at the start. */
  constructor(tokens: number, nowMs: number) {
    this.#tokens = tokens;
    this.#filledAtMs = nowMs;
  }

  /** Changes the rate and the capacity; tokens beyond the capacity are discarded. */
  apply(requestsPerSecond: number, capacity: number, nowMs: number): void {
    this.#fill(nowMs);
    this.#ratePerMs = requestsPerSecond / SECOND_MS;
    this.#capacity = capacity;
    this.#tokens = Math.min(this.#tokens, capacity);
  }

  /** Tokens that can be taken at present. */
  available(nowMs: number): number {
    this.#fill(nowMs);
    return this.#tokens + this.#borrowed;
  }

  /** Whether less than half of the capacity is left. */
  isHalfEmpty(nowMs: number): boolean {
    this.#fill(nowMs);
    return this.#tokens < this.#capacity / 2;
  }

  /** Adds tokens that were taken from the bucket of another region. */
  deposit(count: number, nowMs: number): void {
    this.#fill(nowMs);
    this.#borrowed += count;
    this.#borrowedUntilMs = nowMs + BORROWED_MS;
  }

  /** Takes at most `count` tokens for another region, and leaves `kept`. */
  lend(count: number, kept: number, nowMs: number): number {
    this.#fill(nowMs);
    const spare = Math.max(0, Math.floor(this.#tokens - kept));
    const lent = Math.min(count, spare);
    this.#tokens -= lent;
    return lent;
  }

  /** Takes as many of `count` tokens as there are. */
  take(count: number, nowMs: number): QuotaGrant {
    this.#fill(nowMs);
    const borrowed = Math.min(count, this.#borrowed);
    const own = Math.min(count - borrowed, Math.floor(this.#tokens));
    this.#borrowed -= borrowed;
    this.#tokens -= own;
    const granted = borrowed + own;
    const comeBackMs = granted === count ? 0 : this.#promise(nowMs);
    return {granted, comeBackMs};
  }

  /** Promises one more token, after those promised before, so that callers come back one after the other. */
  #promise(nowMs: number): number {
    const tokenMs = 1 / this.#ratePerMs;
    if (!Number.isFinite(tokenMs)) {
      return MAXIMUM_COME_BACK_MS;
    }
    const missing = Math.max(0, 1 - this.#tokens);
    const nextMs = nowMs + missing * tokenMs;
    const afterOthersMs = this.#promisedUntilMs + tokenMs;
    const latestMs = nowMs + MAXIMUM_COME_BACK_MS;
    this.#promisedUntilMs = Math.min(
      Math.max(nextMs, afterOthersMs, nowMs + MINIMUM_COME_BACK_MS),
      latestMs,
    );
    return this.#promisedUntilMs - nowMs;
  }

  #fill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#filledAtMs);
    this.#tokens = Math.min(
      this.#tokens + elapsedMs * this.#ratePerMs,
      Math.max(this.#capacity, this.#tokens),
    );
    this.#filledAtMs = nowMs;
    if (nowMs >= this.#borrowedUntilMs) {
      this.#borrowed = 0;
    }
  }
}
