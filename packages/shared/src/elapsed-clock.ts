/** A clock for permissions that run out: it also counts time in which the machine was suspended. */

import type {Clock} from './clock.js';

/** A moment on two clocks, in milliseconds; only differences are meaningful. */
export interface Moment {
  /** The monotonic clock, which may stand still while the machine is suspended: never more than has passed. */
  readonly steadyMs: number;
  /** Counts such time as well: never less than has passed, unless the time of day is set back in the same moment. */
  readonly elapsedMs: number;
}

/** Change of the time of day beside the monotonic clock that counts as a suspension, in milliseconds; less than that is how clocks are adjusted. */
const SMALLEST_JUMP_MS = 20;

/**
 * Finds suspensions by the time of day, which counts them. A step of the time
 * of day looks the same, so that ages may be too high, which ends a permission
 * early.
 */
export class ElapsedClock {
  readonly #clock: Clock;
  #offsetMs: number;
  #suspendedMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#offsetMs = clock.wallTime() - clock.now();
  }

  /** The present moment. */
  now(): Moment {
    const steadyMs = this.#clock.now();
    const offsetMs = this.#clock.wallTime() - steadyMs;
    const jumpMs = offsetMs - this.#offsetMs;
    if (jumpMs > SMALLEST_JUMP_MS) {
      this.#suspendedMs += jumpMs;
    }
    this.#offsetMs = offsetMs;
    return {steadyMs, elapsedMs: steadyMs + this.#suspendedMs};
  }
}
