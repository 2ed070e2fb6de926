/** One entry of a simulation of quotas, and what it grants. */

import {
  AccountGranting,
  GrantingRight,
  QuotaAllowance,
  type GrantingScope,
  type Quota,
  type QuotaReserve,
} from '@wasabidyke/policy';
import {TOLERANCE, type SimulatedAccount} from './quota-load.js';

/** What is granted; undefined if the entry may not say. */
export type Grant = {readonly granted: number} | undefined;

/** What an entry grants of an account. */
interface Granting {
  readonly account: AccountGranting;
  readonly allowance: QuotaAllowance;
  heldAtMs: number;
}

/** One entry. */
export class SimulatedEntry {
  readonly name: string;
  readonly region: string;
  readonly grants = new Map<SimulatedAccount, Granting>();
  readonly reserves = new Map<SimulatedAccount, QuotaReserve>();
  right: GrantingRight;
  isUp = true;
  /** Entries of different groups can't reach each other. */
  group = 0;
  readyAtMs = 0;
  readonly #parts: number;
  readonly #regions: number;

  /**
   * @param parts Number of regions that have fixed equal parts of quotas; 1 if they divide them otherwise.
   * @param regions Number of regions that divide a tolerance.
   */
  constructor(name: string, region: string, parts: number, regions: number) {
    this.name = name;
    this.region = region;
    this.right = new GrantingRight(name);
    this.#parts = parts;
    this.#regions = regions;
  }

  /** Forgets everything, and grants nothing until it is ready. */
  restart(readyAtMs: number): void {
    this.right = new GrantingRight(this.name);
    this.grants.clear();
    this.reserves.clear();
    this.readyAtMs = readyAtMs;
  }

  /** Grants one request by the right to. @param onBegin Called when it begins to grant for the account. */
  grant(
    account: SimulatedAccount,
    scope: GrantingScope,
    nowMs: number,
    onBegin: (granting: AccountGranting) => void,
  ): Grant {
    const sinceMs = this.findSince(account, nowMs);
    if (sinceMs === undefined || scope.part === 0) {
      return undefined;
    }
    const quota = this.#partOf(account.quota);
    const isNew = !this.grants.has(account);
    const granting = this.#findGranting(account, nowMs);
    const isYoung = nowMs - sinceMs < TOLERANCE.windowMs;
    if (sinceMs > granting.heldAtMs) {
      const tokens = isYoung
        ? granting.allowance.remainder(account.quota, this.#regions, nowMs)
        : 0;
      granting.account.begin(tokens, quota, scope, sinceMs);
    }
    granting.heldAtMs = nowMs;
    if (isNew) {
      onBegin(granting.account);
    }
    const grant = granting.account.ask(1, quota, scope, nowMs);
    return grant.granted === 0 && isYoung
      ? (this.grantInDoubt(account, nowMs) ?? grant)
      : grant;
  }

  /** Grants one request without the right to. */
  grantInDoubt(account: SimulatedAccount, nowMs: number): Grant {
    const {allowance} = this.#findGranting(account, nowMs);
    const granted = allowance.take(1, account.quota, this.#regions, nowMs);
    return granted === 0 ? undefined : {granted};
  }

  /** When its right for an account began; undefined if it has none. */
  findSince({name}: SimulatedAccount, nowMs: number): number | undefined {
    return this.right.findSince(name, {steadyMs: nowMs, elapsedMs: nowMs});
  }

  #findGranting(account: SimulatedAccount, nowMs: number): Granting {
    const tolerance = {...TOLERANCE, slack: TOLERANCE.slack / this.#parts};
    const granting = this.grants.get(account) ?? {
      account: new AccountGranting(tolerance, nowMs),
      allowance: new QuotaAllowance(TOLERANCE),
      heldAtMs: -Infinity,
    };
    this.grants.set(account, granting);
    return granting;
  }

  #partOf({requestsPerSecond, burst}: Quota): Quota {
    return {
      requestsPerSecond: requestsPerSecond / this.#parts,
      burst: burst / this.#parts,
    };
  }
}
