/** The time for which an upstream wants nothing from this entry, as it said when it turned a request away. */

import type {RandomSource} from './selection.js';

/** Longest rest that is kept, in milliseconds: an hour. An upstream that rests for longer says so again. */
const MAXIMUM_REST_MS = 3_600_000;

/** Longest time added to a rest, as a share of it: entries that were told together don't come back together. */
const SPREAD_SHARE = 0.1;

const PERMILLE = 1_000;

/** The rest of one upstream. */
export class RestPeriod {
  readonly #random: RandomSource;
  /** On the monotonic clock. */
  #untilMs = -Infinity;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /**
   * Takes a rest that the upstream asked for. A shorter one doesn't end one
   * that it asked for before. Returns whether the rest begins or is extended.
   */
  begin(restMs: number, nowMs: number): boolean {
    if (!(restMs > 0)) {
      return false;
    }
    const keptMs = Math.min(restMs, MAXIMUM_REST_MS);
    const draw = this.#random.nextBelow(PERMILLE) / PERMILLE;
    const untilMs = nowMs + keptMs * (1 + SPREAD_SHARE * draw);
    if (nowMs + keptMs <= this.#untilMs) {
      return false;
    }
    this.#untilMs = Math.max(this.#untilMs, untilMs);
    return true;
  }

  /** Time until the rest is over, in milliseconds; 0 if there is none. */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.#untilMs - nowMs);
  }

  /** Whether the upstream wants nothing now. */
  isResting(nowMs: number): boolean {
    return nowMs < this.#untilMs;
  }
}
