/** When this process ends at the latest, once it has been told to stop. */

import type {Clock} from '@wasabidyke/shared';

/** Time before the end of the process in which nothing is waited for, in milliseconds: the last answers are written and the ledger is handed over. */
const RESERVE_MS = 1_000;

/** Tells until when requests may be under way. */
export class StopDeadline {
  readonly #clock: Clock;
  #endsAtMs = Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Begins a stop. @param withinMs Time until the process is killed. */
  begin(withinMs: number): void {
    this.#endsAtMs = this.#clock.now() + Math.max(0, withinMs - RESERVE_MS);
  }

  /** Until when requests may be under way, on the monotonic clock in milliseconds; infinite unless a stop has begun that has an end. */
  get endsAtMs(): number {
    return this.#endsAtMs;
  }

  /** Time that is left until then, in milliseconds. */
  get remainingMs(): number {
    return Math.max(0, this.#endsAtMs - this.#clock.now());
  }
}
