/** Requests of accounts with quotas, as simulations send them. */

import {
  QuotaBucket,
  quotaBound,
  type Quota,
  type QuotaTolerance,
  type RandomSource,
} from '@wasabidyke/policy';

/** An account. */
export interface SimulatedAccount {
  readonly name: string;
  readonly usualPerSecond: number;
  quota: Quota;
  /** Sees all requests; tells which are within the quota. */
  readonly reference: QuotaBucket;
  /** Requests let through, by step. */
  readonly passed: Int16Array;
  readonly turn: number;
  /** From when on the quota has been in force. */
  sinceMs: number;
}

export const TOLERANCE: QuotaTolerance = {
  windowMs: 5_000,
  overshoot: 0.1,
  slack: 20,
};
export const STEP_MS = 10;
export const LENGTH_MS = 60_000;
/** When something fails. */
export const FAULT_MS = 30_000;

const ACCOUNTS = 79;
const REQUESTS_PER_SECOND = 341;
/** Quota of an account, as a multiple of its usual rate. */
const QUOTA_FACTOR = 1.6;
/** Parts of an account's requests by region. Every `MOVE_MS` they move on by one region, within `MOVING_MS`. */
const MIX = [0.6, 0.3, 0.1];
const MOVE_MS = 12_000;
const MOVING_MS = 3_000;
const SURGE_MS = 6_000;
const SURGE_FACTOR = 7;

/** The requests. */
export class QuotaLoad {
  readonly accounts: readonly SimulatedAccount[];
  readonly #surging: number;
  readonly #random: RandomSource;

  /** @param surging Number of accounts, largest first, that send seven times their usual rate for 6 s. */
  constructor(surging: number, random: RandomSource) {
    this.#surging = surging;
    this.#random = random;
    const weights = Array.from({length: ACCOUNTS}, (_, i) => 1 / (i + 3));
    const sum = weights.reduce((total, weight) => total + weight, 0);
    this.accounts = weights.map((weight, turn) => {
      const usualPerSecond = (REQUESTS_PER_SECOND * weight) / sum;
      const requestsPerSecond = usualPerSecond * QUOTA_FACTOR;
      const quota = {requestsPerSecond, burst: requestsPerSecond * 2};
      const reference = new QuotaBucket(quota.burst, 0);
      reference.apply(requestsPerSecond, quota.burst, 0);
      const passed = new Int16Array(LENGTH_MS / STEP_MS);
      const name = `account-${turn}`;
      return {name, usualPerSecond, quota, reference, passed, turn, sinceMs: 0};
    });
  }

  /** Draws how many requests arrive in a step. */
  arrivals(account: SimulatedAccount, region: number, nowMs: number): number {
    const limit = Math.exp(-this.#mean(account, region, nowMs));
    let count = 0;
    let product = this.#random.nextBelow(1e9) / 1e9;
    while (product > limit) {
      count += 1;
      product *= this.#random.nextBelow(1e9) / 1e9;
    }
    return count;
  }

  #mean(
    {usualPerSecond, turn}: SimulatedAccount,
    region: number,
    nowMs: number,
  ): number {
    const index = region + turn + Math.floor(nowMs / MOVE_MS);
    const moved = Math.min(1, (nowMs % MOVE_MS) / MOVING_MS);
    const part =
      MIX[index % MIX.length] * moved +
      MIX[(index + MIX.length - 1) % MIX.length] * (1 - moved);
    const sinceMs = nowMs - FAULT_MS;
    const isSurging =
      turn < this.#surging && sinceMs >= 0 && sinceMs < SURGE_MS;
    const factor = isSurging ? SURGE_FACTOR : 1;
    return (usualPerSecond * factor * part * STEP_MS) / 1_000;
  }
}

/** Highest part of the bound that was reached in a window; requests before the quota was in force don't count. */
export function worstPart({passed, quota, sinceMs}: SimulatedAccount): number {
  const counted = passed.subarray(sinceMs / STEP_MS);
  const steps = TOLERANCE.windowMs / STEP_MS;
  let sum = 0;
  let worst = 0;
  for (const [step, count] of counted.entries()) {
    sum += count - (step >= steps ? counted[step - steps] : 0);
    worst = Math.max(worst, sum);
  }
  return worst / quotaBound(quota, TOLERANCE);
}
