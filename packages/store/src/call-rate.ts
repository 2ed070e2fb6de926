/** A limit on calls per second: a token bucket that holds one second's calls. */

import {SECOND_MS, type Clock} from '@wasabidyke/shared';

/** Allows so many calls a second; what was saved up is at most one second's worth. */
export class CallRate {
  readonly #callsPerSecond: number;
  readonly #capacity: number;
  readonly #clock: Clock;
  #tokens: number;
  #filledAtMs: number;

  constructor(callsPerSecond: number, clock: Clock) {
    this.#callsPerSecond = callsPerSecond;
    this.#capacity = Math.max(1, callsPerSecond);
    this.#clock = clock;
    this.#tokens = this.#capacity;
    this.#filledAtMs = clock.now();
  }

  /** Takes one call from the allowance. Returns false when none is left. */
  tryTake(): boolean {
    this.#fill();
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  #fill(): void {
    const nowMs = this.#clock.now();
    const earned =
      ((nowMs - this.#filledAtMs) / SECOND_MS) * this.#callsPerSecond;
    this.#tokens = Math.min(this.#capacity, this.#tokens + earned);
    this.#filledAtMs = nowMs;
  }
}
