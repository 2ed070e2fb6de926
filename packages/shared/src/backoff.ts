/**
 * Exponential back-off with full jitter, as published in the Amazon
 * Builders' Library article "Timeouts, retries, and backoff with jitter".
 */

/** Limits of a back-off, in milliseconds. */
export interface BackoffOptions {
  readonly minimumMs: number;
  readonly maximumMs: number;
  /** A random number from 0 up to 1; `Math.random` unless a test supplies one. */
  readonly random?: () => number;
}

/** Doublings after which the limit is certainly reached. */
const MAXIMUM_DOUBLINGS = 30;

/** The waits between attempts that fail one after another. */
export class Backoff {
  readonly #options: BackoffOptions;
  #failures = 0;

  constructor(options: BackoffOptions) {
    this.#options = options;
  }

  /** The wait before the next attempt, in milliseconds; at least the minimum. */
  nextDelayMs(): number {
    const {minimumMs, maximumMs, random = Math.random} = this.#options;
    const doublings = Math.min(this.#failures, MAXIMUM_DOUBLINGS);
    this.#failures += 1;
    const ceilingMs = Math.min(maximumMs, minimumMs * 2 ** doublings);
    return minimumMs + random() * (ceilingMs - minimumMs);
  }

  /** Begins anew after a success. */
  reset(): void {
    this.#failures = 0;
  }
}
