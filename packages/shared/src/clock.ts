/** Sources of time, injected so that tests can control it. */

import {performance} from 'node:perf_hooks';

/** A source of time. */
export abstract class Clock {
  /** Milliseconds on a monotonic clock with an arbitrary origin; only differences are meaningful. */
  abstract now(): number;

  /** Milliseconds since the Unix epoch; can jump when the system clock is adjusted. */
  abstract wallTime(): number;
}

/** The clocks of the process and the operating system. */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override wallTime(): number {
    return Date.now();
  }
}

/** A clock that moves only when `advance` is called. */
export class ManualClock extends Clock {
  #nowMs: number;

  constructor(startMs = 0) {
    super();
    this.#nowMs = startMs;
  }

  override now(): number {
    return this.#nowMs;
  }

  override wallTime(): number {
    return this.#nowMs;
  }

  /** Moves the clock forward by `milliseconds`. */
  advance(milliseconds: number): void {
    this.#nowMs += milliseconds;
  }
}
