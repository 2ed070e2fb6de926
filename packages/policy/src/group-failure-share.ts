/**
 * The share of requests to a group of upstreams that fail, as observed by one
 * entry. It is the expected failure share of an upstream of the group with few
 * recent requests, so that where all fail alike, an untried one isn't preferred.
 */

/** Weight of the newest outcome. */
const NEWEST_OUTCOME_WEIGHT = 0.1;

/** Half-life of the share, in milliseconds: a group that failed is tried again within several half-lives. */
const HALF_LIFE_MS = 10_000;

/** Moving average of the failures of a group of upstreams. */
export class GroupFailureShare {
  #share = 0;
  #updatedAtMs = 0;

  /** Called when a request to one of the upstreams has ended. */
  onOutcome(isFailure: boolean, nowMs: number): void {
    const share = this.share(nowMs);
    this.#share = share + NEWEST_OUTCOME_WEIGHT * (Number(isFailure) - share);
    this.#updatedAtMs = nowMs;
  }

  /** Returns the share of recent requests that failed, from 0 to 1. */
  share(nowMs: number): number {
    return this.#share * 0.5 ** ((nowMs - this.#updatedAtMs) / HALF_LIFE_MS);
  }
}
