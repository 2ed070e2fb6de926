/** Token bucket of one account in one region; its rate and its capacity change independently of each other. */

import {SECOND_MS} from '@wasabidyke/shared';

/** Longest time to come back that is named, in milliseconds: by then the share of the region may be another. */
const MAXIMUM_COME_BACK_MS = 5_000;

/** Shortest time to come back that is named, in milliseconds: a round trip of a nearby caller. */
const MINIMUM_COME_BACK_MS = 20;

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

  /** Takes as many of `count` tokens as there are. */
  take(count: number, nowMs: number): QuotaGrant {
    this.#fill(nowMs);
    const granted = Math.min(count, Math.floor(this.#tokens));
    this.#tokens -= granted;
    const comeBackMs = granted === count ? 0 : this.#promise(nowMs);
    return {granted, comeBackMs};
  }

  /** Promises one more token, after those promised before, so that callers come back one after the other. */
  #promise(nowMs: number): number {
    const missing = Math.max(0, 1 - this.#tokens);
    const nextMs = nowMs + missing / this.#ratePerMs;
    const afterOthersMs = this.#promisedUntilMs + 1 / this.#ratePerMs;
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
  }
}
