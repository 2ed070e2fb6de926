/** Grants requests of the accounts for which this entry was chosen. */

import {
  AccountGranting,
  type GrantingScope,
  type Quota,
  type QuotaGrant,
  type QuotaTolerance,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {QuotaMembers} from './quota-members.js';

/** Options of `QuotaGranter`. */
export interface QuotaGranterOptions {
  readonly members: QuotaMembers;
  /** Quota of an account; undefined if it is not known or has none. */
  readonly findQuota: (account: string) => Quota | undefined;
  readonly tolerance: () => QuotaTolerance;
  /** Whether this entry reaches neither the store nor another region. */
  readonly isCutOff: () => boolean;
  /** Called when this entry begins to grant for an account. */
  readonly onBegin: () => void;
  /** Called when this entry needs tokens of other regions. */
  readonly onShort: (
    name: string,
    account: AccountGranting,
    wanted: number,
  ) => void;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Time after the first configuration in which an entry grants nothing, in milliseconds: entries that start together have not read each other's announcements yet. */
const START_MS = 500;

/** Time after which the state of an account that nobody asks for is dropped, in milliseconds: its bucket is full by then, unless its burst is over ten times its rate. */
const IDLE_MS = 60_000;

/** The same if another entry was chosen: when this one is chosen again, its bucket would be fuller than the region's share. */
const REPLACED_IDLE_MS = 1_000;

/** Change of a region's share that is logged, as a share of the account's rate. */
const LOGGED_CHANGE = 0.25;

interface Granting {
  readonly account: AccountGranting;
  loggedPerSecond: number;
}

/** Grants requests. */
export class QuotaGranter {
  readonly #options: QuotaGranterOptions;
  readonly #accounts = new Map<string, Granting>();
  #readyAtMs = Infinity;
  #isStopping = false;

  constructor(options: QuotaGranterOptions) {
    this.#options = options;
  }

  /** Whether this entry grants at present. */
  get isReady(): boolean {
    const {clock, members, isCutOff} = this.#options;
    const isStarted = clock.now() >= this.#readyAtMs;
    return (
      isStarted && !this.#isStopping && members.scope.part > 0 && !isCutOff()
    );
  }

  /** Time until this entry grants, in milliseconds; 0 if that is not known. */
  get startsInMs(): number {
    const remainingMs = this.#readyAtMs - this.#options.clock.now();
    return Number.isFinite(remainingMs) ? Math.max(0, remainingMs) : 0;
  }

  /** Called when a configuration is in force. */
  onConfigured(): void {
    if (this.#readyAtMs === Infinity) {
      this.#readyAtMs = this.#options.clock.now() + START_MS;
    }
  }

  /** Stops granting. What was granted can't be handed over, so the next entry starts with little. */
  stop(): void {
    this.#isStopping = true;
  }

  /** Grants as many of `count` requests as may run; undefined if this entry doesn't grant for the account. */
  grant(name: string, count: number): QuotaGrant | undefined {
    const {findQuota, clock, members} = this.#options;
    const quota = findQuota(name);
    if (quota === undefined || !this.isReady) {
      return undefined;
    }
    const {account} = this.#accounts.get(name) ?? this.#begin(name);
    const grant = account.ask(count, quota, members.scope, clock.now());
    const wanted = account.takeWant(clock.now());
    if (wanted > 0) {
      this.#options.onShort(name, account, wanted);
    }
    return grant;
  }

  /** Lends at most `count` tokens of an account to another region. */
  lend(name: string, count: number): number {
    const {findQuota, clock, members} = this.#options;
    const quota = findQuota(name);
    return quota === undefined || !this.isReady
      ? 0
      : (this.find(name)?.lend(count, quota, members.scope, clock.now()) ?? 0);
  }

  /** The state of an account; undefined if this entry doesn't grant for it. */
  find(name: string): AccountGranting | undefined {
    return this.#accounts.get(name)?.account;
  }

  /** The accounts for which this entry grants, with their quotas. */
  list(): ReadonlyArray<readonly [string, AccountGranting, Quota]> {
    return [...this.#accounts].flatMap(([name, {account}]) => {
      const quota = this.#options.findQuota(name);
      return quota === undefined ? [] : [[name, account, quota] as const];
    });
  }

  /** Applies changed shares, and drops the accounts that aren't asked for here any more. */
  onTick(nowMs: number): void {
    const {members, findQuota} = this.#options;
    for (const [name, granting] of this.#accounts) {
      const quota = findQuota(name);
      const isChosen = members.choose(name).at(0) === members.self;
      const idleMs = nowMs - granting.account.askedAtMs;
      const limitMs = isChosen ? IDLE_MS : REPLACED_IDLE_MS;
      if (quota === undefined || idleMs > limitMs) {
        this.#accounts.delete(name);
        this.#logGranting(name, false);
      } else {
        granting.account.apply(quota, members.scope, nowMs);
        this.#logShare(name, granting, quota, members.scope);
      }
    }
  }

  #begin(name: string): Granting {
    const {tolerance, clock, onBegin} = this.#options;
    const account = new AccountGranting(tolerance(), clock.now());
    const granting = {account, loggedPerSecond: 0};
    this.#accounts.set(name, granting);
    this.#logGranting(name, true);
    onBegin();
    return granting;
  }

  #logGranting(account: string, isGranting: boolean): void {
    this.#options.log.record('quota.granting', {account, isGranting});
  }

  #logShare(
    name: string,
    granting: Granting,
    {requestsPerSecond}: Quota,
    {otherRegions, part}: GrantingScope,
  ): void {
    const {perSecond} = granting.account;
    const change = Math.abs(perSecond - granting.loggedPerSecond);
    if (change > requestsPerSecond * LOGGED_CHANGE) {
      this.#options.log.record('quota.share', {
        account: name,
        requestsPerSecond,
        ownPerSecond: perSecond,
        formerPerSecond: granting.loggedPerSecond,
        regions: otherRegions.length + 1,
        part,
      });
      granting.loggedPerSecond = perSecond;
    }
  }
}
