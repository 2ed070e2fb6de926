/** Grants requests of the accounts for which this entry has the right, and a few while it is in doubt. */

import {
  AccountGranting,
  LEAVING_MS,
  QuotaAllowance,
  type GrantingScope,
  type Quota,
  type QuotaGrant,
  type QuotaTolerance,
} from '@wasabidyke/policy';
import type {Moment} from '@wasabidyke/shared';
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
  /** Called when an account asks for more than its share. */
  readonly onContested: () => void;
  readonly now: () => Moment;
  readonly log: DecisionLog;
}

/** Time after which the state of an account that nobody asks for is dropped, in milliseconds. */
const IDLE_MS = 60_000;

/** The same if another entry was chosen: it may still take over what is left. */
const REPLACED_IDLE_MS = 1_000;

/** Change of a region's share that is logged, as a share of the account's rate. */
const LOGGED_CHANGE = 0.25;

/** Accounts for which an allowance is kept; more than one entry stands in for. */
const MAXIMUM_ALLOWANCES = 20_000;

interface Granting {
  readonly account: AccountGranting;
  /** When this entry last had the right for which the bucket is. */
  heldAtMs: number;
  /** Whether the right was handed over with the tokens that were left. */
  isHandedOver: boolean;
  loggedPerSecond: number;
}

/** Grants requests. */
export class QuotaGranter {
  readonly #options: QuotaGranterOptions;
  readonly #accounts = new Map<string, Granting>();
  readonly #allowances = new Map<string, QuotaAllowance>();
  #isConfigured = false;
  /** When this entry stops to grant, on the elapsed clock. */
  #endsAtMs = Infinity;

  constructor(options: QuotaGranterOptions) {
    this.#options = options;
  }

  /** Whether this entry may grant at present. */
  get isReady(): boolean {
    const {now, isCutOff} = this.#options;
    const isEnded = now().elapsedMs >= this.#endsAtMs;
    return this.#isConfigured && !isEnded && !isCutOff();
  }

  /** Time until this entry has the right to grant for an account unless it is handed over, in milliseconds; 0 if another one is the first. */
  startsInMs(name: string): number {
    const {members, now} = this.#options;
    const isFirst = members.choose(name).at(0) === members.self;
    return isFirst ? members.right.remainingMs(name, now()) : 0;
  }

  /** Called when a configuration is in force. */
  onConfigured(): void {
    this.#isConfigured = true;
  }

  /** Grants only until another entry takes over, and not for long. */
  stop(): void {
    this.#endsAtMs = this.#options.now().elapsedMs + LEAVING_MS;
  }

  /** Grants as many of `count` requests as may run; undefined if this entry doesn't have the right to. */
  grant(name: string, count: number): QuotaGrant | undefined {
    const {findQuota, members, now} = this.#options;
    const quota = findQuota(name);
    if (quota === undefined || !this.isReady) {
      return undefined;
    }
    const moment = now();
    const sinceMs = members.right.findSince(name, moment);
    const scope = members.scope;
    if (sinceMs === undefined || scope.part === 0) {
      return undefined;
    }
    const granting = this.#accounts.get(name) ?? this.#begin(name);
    const {account} = granting;
    const {steadyMs} = moment;
    const {windowMs} = this.#options.tolerance();
    const isYoung = steadyMs - sinceMs < windowMs;
    const {regions, allowance} = this.#findAllowance(name);
    if (sinceMs > granting.heldAtMs) {
      granting.isHandedOver = false;
      const tokens = isYoung
        ? (allowance?.remainder(quota, regions, steadyMs) ?? 0)
        : 0;
      account.begin(tokens, quota, scope, sinceMs);
    }
    granting.heldAtMs = steadyMs;
    const grant = account.ask(count, quota, scope, steadyMs);
    if (account.isShort(steadyMs)) {
      this.#options.onContested();
    }
    const wanted = account.takeWant(steadyMs);
    if (wanted > 0) {
      this.#options.onShort(name, account, wanted);
    }
    const missing = count - grant.granted;
    if (missing === 0 || !isYoung || granting.isHandedOver) {
      return grant;
    }
    // What others granted before the right began isn't known, so that its bucket began empty.
    const extra = allowance?.take(missing, quota, regions, steadyMs) ?? 0;
    const comeBackMs = extra === missing ? 0 : grant.comeBackMs;
    return {granted: grant.granted + extra, comeBackMs};
  }

  /** Grants the little that an entry may without the right; undefined if that is nothing. */
  grantInDoubt(name: string, count: number): QuotaGrant | undefined {
    const {findQuota, members, now} = this.#options;
    const quota = findQuota(name);
    if (quota === undefined || !this.isReady) {
      return undefined;
    }
    const moment = now();
    // The demand of other regions is known by the time at which the right may begin.
    const {account} = this.#accounts.get(name) ?? this.#begin(name);
    account.onAsked(count, moment.steadyMs);
    const {regions, allowance} = this.#findAllowance(name);
    const granted =
      allowance?.take(count, quota, regions, moment.steadyMs) ?? 0;
    const comeBackMs = members.right.remainingMs(name, moment);
    return granted === 0 ? undefined : {granted, comeBackMs};
  }

  /** Hands the right for an account over to the entry that asks for it. Returns the tokens that are left; undefined if it isn't handed over. */
  release(name: string, asker: string): number | undefined {
    const {members, now} = this.#options;
    const granting = this.#accounts.get(name);
    if (granting === undefined) {
      return undefined;
    }
    const moment = now();
    const isLeaving = this.#endsAtMs < Infinity;
    const isFirst = members.choose(name).at(0) === asker;
    if (!(isLeaving || isFirst) || !this.#isHeld(name, moment)) {
      return undefined;
    }
    members.right.giveUp(name, moment);
    this.#accounts.delete(name);
    this.#logGranting(name, false);
    return Math.max(0, granting.account.end(moment.steadyMs));
  }

  /** Takes the right for an account over, with the tokens that are left. */
  accept(name: string, tokens: number): void {
    const {findQuota, members, now} = this.#options;
    const quota = findQuota(name);
    const moment = now();
    members.right.accept(name, moment);
    const sinceMs = members.right.findSince(name, moment);
    if (quota === undefined || sinceMs !== moment.steadyMs) {
      return;
    }
    const granting = this.#accounts.get(name) ?? this.#begin(name);
    granting.heldAtMs = sinceMs;
    granting.isHandedOver = true;
    granting.account.begin(tokens, quota, members.scope, sinceMs);
  }

  /** Waits anew for a right whose former holder still grants by it. */
  defer(name: string): void {
    const {members, now} = this.#options;
    members.right.defer(name, now());
  }

  /** Lends at most `count` tokens of an account to another region. */
  lend(name: string, count: number): number {
    const {findQuota, now, members} = this.#options;
    const quota = findQuota(name);
    const granting = this.#accounts.get(name);
    const moment = now();
    const isHeld = this.#isHeld(name, moment);
    return quota === undefined || granting === undefined || !isHeld
      ? 0
      : granting.account.lend(count, quota, members.scope, moment.steadyMs);
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
  onTick(): void {
    const {members, findQuota, now} = this.#options;
    const moment = now();
    const {steadyMs} = moment;
    for (const [name, granting] of this.#accounts) {
      const quota = findQuota(name);
      const isChosen = members.choose(name).at(0) === members.self;
      const idleMs = steadyMs - granting.account.askedAtMs;
      const limitMs = isChosen ? IDLE_MS : REPLACED_IDLE_MS;
      if (quota === undefined || idleMs > limitMs) {
        this.#accounts.delete(name);
        this.#logGranting(name, false);
        continue;
      }
      if (this.#isHeld(name, moment)) {
        granting.heldAtMs = steadyMs;
      }
      granting.account.apply(quota, members.scope, steadyMs);
      this.#logShare(name, granting, quota, members.scope);
    }
    for (const [name, allowance] of this.#allowances) {
      if (allowance.isFull(steadyMs)) {
        this.#allowances.delete(name);
      }
    }
  }

  /** Whether this entry has had the right without a break since its bucket began. */
  #isHeld(name: string, moment: Moment): boolean {
    const sinceMs = this.#options.members.right.findSince(name, moment);
    const heldAtMs = this.#accounts.get(name)?.heldAtMs ?? -Infinity;
    return this.isReady && sinceMs !== undefined && sinceMs <= heldAtMs;
  }

  #begin(name: string): Granting {
    const {tolerance, now, onBegin} = this.#options;
    const {steadyMs} = now();
    const account = new AccountGranting(tolerance(), steadyMs);
    const granting = {
      account,
      heldAtMs: -Infinity,
      isHandedOver: false,
      loggedPerSecond: 0,
    };
    this.#accounts.set(name, granting);
    this.#logGranting(name, true);
    onBegin();
    return granting;
  }

  /** The allowance of an account, and by how many regions it is shared. */
  #findAllowance(name: string): {regions: number; allowance?: QuotaAllowance} {
    const {tolerance, members} = this.#options;
    const regions = members.scope.otherRegions.length + 1;
    const known = this.#allowances.get(name);
    if (known !== undefined || this.#allowances.size >= MAXIMUM_ALLOWANCES) {
      // Dropping some that are in use would grant them twice.
      return {regions, allowance: known};
    }
    const allowance = new QuotaAllowance(tolerance());
    this.#allowances.set(name, allowance);
    return {regions, allowance};
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
