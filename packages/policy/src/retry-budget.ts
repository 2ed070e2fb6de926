/**
 * The budget that retries spend: a share of the requests that were served.
 * Source: "Handling Overload", Site Reliability Engineering, 2016.
 */

/** Retries that may be saved up, so that a few failures in the calm are retried. */
const MAXIMUM_SAVED = 10;

/** A budget for retries as a share of requests. */
export class RetryBudget {
  #share: number;
  #saved = MAXIMUM_SAVED;

  /** @param share Retries per request, from 0 to 1. */
  constructor(share: number) {
    this.#share = share;
  }

  /** Changes the share. */
  applyShare(share: number): void {
    this.#share = share;
  }

  /** A request arrived. */
  onRequest(): void {
    this.#saved = Math.min(this.#saved + this.#share, MAXIMUM_SAVED);
  }

  /** Takes one retry from the budget. Returns false when it is spent. */
  take(): boolean {
    if (this.#saved < 1) {
      return false;
    }
    this.#saved -= 1;
    return true;
  }
}
