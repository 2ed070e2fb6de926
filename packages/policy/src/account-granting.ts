/** The granting side of one account in one region: its part of the rate and of the burst. */

import {SECOND_MS} from '@wasabidyke/shared';
import {QuotaBucket, type QuotaGrant} from './quota-bucket.js';
import {
  extraBurst,
  type Quota,
  type QuotaTolerance,
} from './quota-tolerance.js';
import {RegionDemand} from './region-demand.js';

/** What a granting entry knows of the others. */
export interface GrantingScope {
  /** The other regions that have entries. */
  readonly otherRegions: readonly string[];
  /** Part of the region's share that this entry may grant, from 0 to 1; less than 1 if others of the region can't be seen. */
  readonly part: number;
}

/** Smallest capacity, in tokens: less could never be granted. */
const MINIMUM_CAPACITY = 1;

/** Tokens below which a region borrows from others, in milliseconds at its demand: several round trips between regions. */
const LOW_MS = 400;

/** The same in tokens, at least: accounts of one request per second send two in a row now and then. */
const MINIMUM_LOW = 2;

/** Time between two attempts to borrow, in milliseconds: over its quota, an account finds nothing to borrow. */
const BORROWING_INTERVAL_MS = 300;

/** Doublings of that time while nothing is lent. */
const MAXIMUM_DOUBLINGS = 3;

/** Grants requests of one account. */
export class AccountGranting {
  readonly demand: RegionDemand;
  readonly #tolerance: QuotaTolerance;
  #bucket: QuotaBucket | undefined;
  #askedAtMs: number;
  #perSecond = 0;
  #borrowsAtMs = -Infinity;
  /** Attempts to borrow since tokens were last lent. */
  #vainAttempts = 0;

  constructor(tolerance: QuotaTolerance, nowMs: number) {
    this.#tolerance = tolerance;
    this.demand = new RegionDemand(nowMs);
    this.#askedAtMs = nowMs;
  }

  /** Begins anew with a bucket that held `tokens` when the right to grant began, and has filled since. */
  begin(
    tokens: number,
    quota: Quota,
    scope: GrantingScope,
    sinceMs: number,
  ): void {
    this.#bucket = new QuotaBucket(tokens, sinceMs);
    this.apply(quota, scope, sinceMs);
  }

  /** Whether less than half of a full bucket is left: the account asks for more than its share. */
  isShort(nowMs: number): boolean {
    return this.#bucket !== undefined && this.#bucket.isHalfEmpty(nowMs);
  }

  /** Ends: returns the tokens that are left, for the entry that grants from now on. */
  end(nowMs: number): number {
    const tokens = this.#bucket?.available(nowMs) ?? 0;
    this.#bucket = undefined;
    return tokens;
  }

  /** When requests were last asked for, on the monotonic clock in milliseconds. */
  get askedAtMs(): number {
    return this.#askedAtMs;
  }

  /** Requests per second that this entry may grant at present. */
  get perSecond(): number {
    return this.#perSecond;
  }

  /** Returns the demand to be told to the other regions, per second; undefined if there is no news. */
  takeNews(
    quota: Quota,
    others: readonly string[],
    nowMs: number,
  ): number | undefined {
    return this.demand.takeNews(quota, this.#tolerance, others, nowMs);
  }

  /** Counts requests that were asked for, also without the right to grant them. */
  onAsked(count: number, nowMs: number): void {
    this.#askedAtMs = nowMs;
    this.demand.onAsked(count, nowMs);
  }

  /** Grants as many of `count` requests as the region's share allows. */
  ask(
    count: number,
    quota: Quota,
    scope: GrantingScope,
    nowMs: number,
  ): QuotaGrant {
    this.onAsked(count, nowMs);
    this.#bucket ??= new QuotaBucket(0, nowMs);
    this.apply(quota, scope, nowMs);
    return this.#bucket.take(count, nowMs);
  }

  /** Returns how many tokens are to be borrowed from each other region now; 0 if none. */
  takeWant(nowMs: number): number {
    const available = this.#bucket?.available(nowMs) ?? Infinity;
    const low = this.#low(nowMs);
    if (!this.demand.isStarted || nowMs < this.#borrowsAtMs) {
      return 0;
    }
    if (available >= low) {
      return 0;
    }
    const doublings = Math.min(this.#vainAttempts, MAXIMUM_DOUBLINGS);
    this.#borrowsAtMs = nowMs + BORROWING_INTERVAL_MS * 2 ** doublings;
    this.#vainAttempts += 1;
    return Math.ceil(2 * low - available);
  }

  /** Takes tokens that another region lent. */
  onLent(count: number, nowMs: number): void {
    this.#bucket?.deposit(count, nowMs);
    this.#vainAttempts = count > 0 ? 0 : this.#vainAttempts;
  }

  /** Lends at most `count` tokens to another region; what this region needs soon stays. */
  lend(
    count: number,
    quota: Quota,
    scope: GrantingScope,
    nowMs: number,
  ): number {
    this.apply(quota, scope, nowMs);
    return this.#bucket?.lend(count, this.#low(nowMs), nowMs) ?? 0;
  }

  #low(nowMs: number): number {
    const soon = (this.demand.perSecond(nowMs) * LOW_MS) / SECOND_MS;
    return Math.max(MINIMUM_LOW, soon);
  }

  /** Applies a changed quota or share; a lower one holds at once. */
  apply(quota: Quota, scope: GrantingScope, nowMs: number): void {
    const allocated = this.demand.allocate(quota, scope.otherRegions);
    const share = allocated / quota.requestsPerSecond;
    const regions = scope.otherRegions.length + 1;
    // Half of it follows demand; the other half is there when callers arrive from elsewhere.
    const extra =
      (extraBurst(quota, this.#tolerance) * (share + 1 / regions)) / 2;
    const capacity = (quota.burst * share + extra) * scope.part;
    this.#perSecond = allocated * scope.part;
    this.#bucket?.apply(
      this.#perSecond,
      Math.max(MINIMUM_CAPACITY, capacity),
      nowMs,
    );
  }
}
