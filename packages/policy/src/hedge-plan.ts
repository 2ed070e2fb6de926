/**
 * When an idempotent request is hedged, i.e. sent again while the first attempt
 * is in flight, and a limit on the number of hedges.
 * Source: Dean and Barroso, "The Tail at Scale", Communications of the ACM, 2013.
 */

/** Quantile of the latency after which a request is hedged. */
const DELAY_QUANTILE = 0.95;

/** Relative step by which the delay approaches the quantile. */
const DELAY_STEP = 0.05;

/** Maximum number of saved hedges. */
const MAXIMUM_TOKENS = 10;

/** Delay and budget of the hedges of one kind of request. */
export class HedgePlan {
  readonly #share: number;
  #tokens = 0;
  #delayMs = 0;

  /** @param share Hedges per request, from 0 to 1. */
  constructor(share: number) {
    this.#share = share;
  }

  /** Time from the start of a request to its hedge, in milliseconds; undefined before the first answer. */
  get delayMs(): number | undefined {
    return this.#delayMs === 0 ? undefined : this.#delayMs;
  }

  /** Called when a request begins; adds its share of a hedge to the budget. */
  onRequest(): void {
    this.#tokens = Math.min(MAXIMUM_TOKENS, this.#tokens + this.#share);
  }

  /** Called when an attempt was answered, or cancelled in favour of its hedge, after `durationMs`. */
  onAnswer(durationMs: number): void {
    if (this.#delayMs === 0) {
      this.#delayMs = durationMs;
    } else if (durationMs > this.#delayMs) {
      this.#delayMs *= 1 + DELAY_STEP * DELAY_QUANTILE;
    } else {
      this.#delayMs *= 1 - DELAY_STEP * (1 - DELAY_QUANTILE);
    }
  }

  /** Takes one hedge from the budget. Returns false if less than one remains. */
  take(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
