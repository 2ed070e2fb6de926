/**
 * Exponential back-off with full jitter, as published in the Amazon
 * Builders' Library article "Timeouts, retries, and backoff with jitter".
 */

/** Options of `Backoff`. */
export interface BackoffOptions {
  readonly minimumMs: number;
  readonly maximumMs: number;
  /** A random number from 0 up to 1; `Math.random` unless a test supplies one. */
  readonly random?: () => number;
}

/** Caps the exponent; after this many doublings the maximum delay is certainly reached. */
const MAXIMUM_DOUBLINGS = 30;

/** Computes the delays between consecutive failed attempts. */
export class Backoff {
  readonly #options: BackoffOptions;
  #failures = 0;

  constructor(options: BackoffOptions) {
    this.#options = options;
  }

  /** Counts a failure and returns the delay before the next attempt, in milliseconds; at least `minimumMs`. */
  nextDelayMs(): number {
    const {minimumMs, maximumMs, random = Math.random} = this.#options;
    const doublings = Math.min(this.#failures, MAXIMUM_DOUBLINGS);
    this.#failures += 1;
    const longestDelayMs = Math.min(maximumMs, minimumMs * 2 ** doublings);
    return minimumMs + random() * (longestDelayMs - minimumMs);
  }

  /** Resets the failure count; call it after a success. */
  reset(): void {
    this.#failures = 0;
  }
}
