/** The granting side of one account in one region: its part of the rate and of the burst. */

import {QuotaBucket, type QuotaGrant} from './quota-bucket.js';
import {
  extraBurst,
  startTokens,
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

/** Grants requests of one account. */
export class AccountGranting {
  readonly demand: RegionDemand;
  readonly #tolerance: QuotaTolerance;
  #bucket: QuotaBucket | undefined;
  #askedAtMs: number;
  #perSecond = 0;

  constructor(tolerance: QuotaTolerance, nowMs: number) {
    this.#tolerance = tolerance;
    this.demand = new RegionDemand(nowMs);
    this.#askedAtMs = nowMs;
  }

  /** When requests were last asked for, on the monotonic clock in milliseconds. */
  get askedAtMs(): number {
    return this.#askedAtMs;
  }

  /** Requests per second that this entry may grant at present. */
  get perSecond(): number {
    return this.#perSecond;
  }

  /** Grants as many of `count` requests as the region's share allows. */
  ask(
    count: number,
    quota: Quota,
    scope: GrantingScope,
    nowMs: number,
  ): QuotaGrant {
    const regions = scope.otherRegions.length + 1;
    this.#askedAtMs = nowMs;
    this.demand.onAsked(count, nowMs);
    if (this.#bucket === undefined) {
      const tokens = startTokens(quota, this.#tolerance) / regions;
      this.#bucket = new QuotaBucket(
        Math.max(MINIMUM_CAPACITY, tokens * scope.part),
        nowMs,
      );
    }
    this.apply(quota, scope, nowMs);
    return this.#bucket.take(count, nowMs);
  }

  /** Applies a changed quota or share; a lower one holds at once. */
  apply(quota: Quota, scope: GrantingScope, nowMs: number): void {
    const allocated = this.demand.allocate(quota, scope.otherRegions);
    const share = allocated / quota.requestsPerSecond;
    const extra =
      extraBurst(quota, this.#tolerance) / (scope.otherRegions.length + 1);
    const capacity = (quota.burst * share + extra) * scope.part;
    this.#perSecond = allocated * scope.part;
    this.#bucket?.apply(
      this.#perSecond,
      Math.max(MINIMUM_CAPACITY, capacity),
      nowMs,
    );
  }
}
