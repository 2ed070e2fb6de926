/**
 * How often requests to a group of upstreams fail, as one entry has seen it.
 * It is what to expect of an upstream of the group of which little is known:
 * where all of them fail alike, none looks better for not having been tried.
 */

/** Weight of the newest end. */
const NEWEST_WEIGHT = 0.1;

/** Time in which half of it fades: a group that failed is tried again within several of them. */
const HALF_LIFE_MS = 10_000;

/** A running share of failures. */
export class FailureLevel {
  #share = 0;
  #atMs = 0;

  /** A request to one of the upstreams ended. */
  onOutcome(isFailure: boolean, nowMs: number): void {
    const share = this.share(nowMs);
    this.#share = share + NEWEST_WEIGHT * (Number(isFailure) - share);
    this.#atMs = nowMs;
  }

  /** Share of recent requests that failed, from 0 to 1. */
  share(nowMs: number): number {
    return this.#share * 0.5 ** ((nowMs - this.#atMs) / HALF_LIFE_MS);
  }
}
