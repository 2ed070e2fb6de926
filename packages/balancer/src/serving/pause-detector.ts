/** Finds pauses of this process: suspensions of its machine, and times in which it got no turn. */

import {ElapsedClock, type Clock} from '@wasabidyke/shared';

/** Time between looks at the clocks, in milliseconds. */
const LOOK_INTERVAL_MS = 250;

/** Time without a look that counts as a pause, in milliseconds: twice the interval. */
const SHORTEST_PAUSE_MS = 2 * LOOK_INTERVAL_MS;

/** Knows when the last pause was over. */
export class PauseDetector {
  readonly #elapsedClock: ElapsedClock;
  #lookedAtMs: number;
  #resumedAtMs = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(clock: Clock) {
    this.#elapsedClock = new ElapsedClock(clock);
    this.#lookedAtMs = this.#elapsedClock.now().elapsedMs;
  }

  /** When the last pause was over, on the monotonic clock in milliseconds; `-Infinity` if there was none. */
  get resumedAtMs(): number {
    return this.#resumedAtMs;
  }

  /** Looks at the clocks from now on. */
  start(): void {
    this.#timer = setInterval(() => this.look(), LOOK_INTERVAL_MS);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Looks at the clocks. What arrived during a pause may be handled before the timer is, so that it has to be called first. */
  look(): void {
    const {steadyMs, elapsedMs} = this.#elapsedClock.now();
    if (elapsedMs - this.#lookedAtMs > SHORTEST_PAUSE_MS) {
      this.#resumedAtMs = steadyMs;
    }
    this.#lookedAtMs = elapsedMs;
  }
}
