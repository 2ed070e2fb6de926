/**
 * A budget that limits retries to a share of the requests.
 * Source: "Handling Overload", Site Reliability Engineering, 2016.
 */

/** Maximum number of saved retries, so that a few failures at low traffic can be retried. */
const MAXIMUM_TOKENS = 10;

/** Limits retries to a share of the requests. */
export class RetryBudget {
  #share: number;
  #tokens = MAXIMUM_TOKENS;

  /** @param share Retries per request, from 0 to 1. */
  constructor(share: number) {
    this.#share = share;
  }

  /** Changes the number of retries per request. */
  applyShare(share: number): void {
    this.#share = share;
  }

  /** Called when a request arrives. */
  onRequest(): void {
    this.#tokens = Math.min(this.#tokens + this.#share, MAXIMUM_TOKENS);
  }

  /** Takes one retry from the budget. Returns false if less than one remains. */
  take(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
