/**
 * When a second attempt of an idempotent request is made while the first is
 * still under way, and how many may be.
 * Source: Dean and Barroso, "The Tail at Scale", Communications of the ACM, 2013.
 */

/** Quantile of the time to answer after which a request is hedged. */
const DELAY_QUANTILE = 0.95;

/** Relative step by which the delay follows the quantile. */
const DELAY_STEP = 0.05;

/** Hedges that may be saved up. */
const MAXIMUM_SAVED = 10;

/** When and how often requests of one kind are hedged. */
export class HedgePlan {
  readonly #share: number;
  #saved = 0;
  #delayMs = 0;

  /** @param share Hedges for each request, from 0 to 1. */
  constructor(share: number) {
    this.#share = share;
  }

  /** Time after the start of a request at which it is hedged, in milliseconds; undefined before the first answer. */
  get delayMs(): number | undefined {
    return this.#delayMs === 0 ? undefined : this.#delayMs;
  }

  /** A request begins: a share of a hedge is saved. */
  onRequest(): void {
    this.#saved = Math.min(MAXIMUM_SAVED, this.#saved + this.#share);
  }

  /** An attempt was answered, or given up for its hedge, after `durationMs`. */
  onAnswer(durationMs: number): void {
    if (this.#delayMs === 0) {
      this.#delayMs = durationMs;
    } else if (durationMs > this.#delayMs) {
      this.#delayMs *= 1 + DELAY_STEP * DELAY_QUANTILE;
    } else {
      this.#delayMs *= 1 - DELAY_STEP * (1 - DELAY_QUANTILE);
    }
  }

  /** Takes a hedge from what is saved. Returns false where none is left. */
  take(): boolean {
    if (this.#saved < 1) {
      return false;
    }
    this.#saved -= 1;
    return true;
  }
}
