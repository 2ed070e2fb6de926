/** How much more client accounts send to one entry than they usually do. */

import {SECOND_MS} from '@wasabidyke/shared';

/** Time constants of the recent sums, in milliseconds: with many requests, 2 s tell an excess before it does harm; with few, 8 s are needed to see two of them. */
const RECENT_MS = [2 * SECOND_MS, 8 * SECOND_MS] as const;

/** Time constant of the usual sums, in milliseconds: an account with a request each 27 s, as at 116 entries, is counted twice in it. */
const USUAL_MS = 60 * SECOND_MS;

/** Recent slot time, as a multiple of the usual, up to which an account sends as always: callers that are refused send once more. With 1.5, a tenth of the requests of accounts that send as always counted as an excess. */
const USUAL_FACTOR = 2;

/** Weight of a request in the usual sums while its account sends more than usual: so that a burst hardly changes what is usual, and a lasting rise becomes usual within minutes. */
const EXCESS_WEIGHT = 0.1;

/** Number of accounts that are counted; beyond it, the one that was quiet for longest is forgotten. Bounds the memory to some 200 kB a service. */
const MAXIMUM_ACCOUNTS = 1_000;

/** Decaying sums of one account. */
interface AccountSums {
  /** Slot time in milliseconds, for each of `RECENT_MS`. */
  recentWorkMs: readonly number[];
  usualWorkMs: number;
  usualRequests: number;
  updatedAtMs: number;
}

/** Decaying sums of the slot time that accounts asked for. */
export class AccountDemand {
  /** In the order of the newest request. */
  readonly #sums = new Map<string, AccountSums>();
  #firstAtMs: number | undefined;

  /** Called when a request of an account arrives. */
  onArrival(account: string, workMs: number, nowMs: number): void {
    this.#firstAtMs ??= nowMs;
    const former = this.#sums.get(account);
    const ageMs = nowMs - (former?.updatedAtMs ?? nowMs);
    const usualFactor = Math.exp(-ageMs / USUAL_MS);
    const weight = this.excess(account, nowMs) > 0 ? EXCESS_WEIGHT : 1;
    // Deleted first, so that the order is that of the newest request.
    this.#sums.delete(account);
    this.#sums.set(account, {
      recentWorkMs: RECENT_MS.map((windowMs, index) => {
        const formerMs = former?.recentWorkMs[index] ?? 0;
        return formerMs * Math.exp(-ageMs / windowMs) + workMs;
      }),
      usualWorkMs: (former?.usualWorkMs ?? 0) * usualFactor + weight * workMs,
      usualRequests: (former?.usualRequests ?? 0) * usualFactor + weight,
      updatedAtMs: nowMs,
    });
    const [oldest] = this.#sums.keys();
    if (this.#sums.size > MAXIMUM_ACCOUNTS) {
      this.#sums.delete(oldest);
    }
  }

  /** Returns the excess of an account of which a request has arrived, in requests beyond its usual: from 0 (as always) to 1 (one or more). */
  excess(account: string, nowMs: number): number {
    const sums = this.#sums.get(account);
    if (sums === undefined || this.#firstAtMs === undefined) {
      return 0;
    }
    const meanMs = sums.usualWorkMs / sums.usualRequests;
    const knownMs = nowMs - this.#firstAtMs;
    const countedMs = USUAL_MS * (1 - Math.exp(-knownMs / USUAL_MS));
    const excesses = RECENT_MS.map((windowMs, index) => {
      const weight = Math.exp((sums.updatedAtMs - nowMs) / windowMs);
      // The request itself is no evidence.
      const recentMs = sums.recentWorkMs[index] * weight - meanMs;
      const usualMs = (sums.usualWorkMs - meanMs) * (windowMs / countedMs);
      return (recentMs - USUAL_FACTOR * usualMs) / meanMs;
    });
    // Less than the longest window shows nothing of what is usual.
    return knownMs < RECENT_MS[RECENT_MS.length - 1]
      ? 0
      : Math.min(1, Math.max(0, ...excesses));
  }
}
