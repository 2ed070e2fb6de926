/** Time as the rest of the system reads it, so that tests can supply their own. */

import {performance} from 'node:perf_hooks';

/** A source of time. */
export abstract class Clock {
  /** Milliseconds on a clock that never goes back; only differences mean anything. */
  abstract now(): number;

  /** Milliseconds since the Unix epoch; may jump. */
  abstract wallTime(): number;
}

/** The process's own clock. */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override wallTime(): number {
    return Date.now();
  }
}

/** A clock that moves only when told to. */
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
