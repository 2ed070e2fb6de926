/**
 * Divides the rate of an account among regions by what was asked for in each.
 * A region counts its own demand as it was told to the others: a lower one from
 * the moment it is told, a higher one once all others have answered. No region
 * therefore believes in less demand elsewhere than is used there, and the
 * shares never add up to more than the rate.
 */

import {SECOND_MS} from '@wasabidyke/shared';
import {
  extraBurst,
  type Quota,
  type QuotaTolerance,
} from './quota-tolerance.js';

/** Time over which demand is averaged, in milliseconds: callers move between zones within seconds. */
const AVERAGING_MS = 1_500;

/** Demand that a region counts as having at least when demand exceeds the rate, as a share of the rate. */
const FLOOR_SHARE = 0.05;

/** Demand below this share of the rate's equal part counts as none and is not told. */
const TOLD_SHARE = 0.1;

/** Change of demand that is told, as a share of what was told last and of the rate. Regions borrow from each other for less, so that smaller steps cost messages and save no refusals. */
const CHANGE_SHARE = 0.5;
const RATE_CHANGE_SHARE = 0.2;

/** Part of its share from which a region is short of requests, and tells smaller changes. */
const SHORT_SHARE = 0.8;

/** Time for which the extra burst of a region covers a change that is not told, in milliseconds. Accounts of a few requests per second would be told of all the time otherwise. */
const COVERED_MS = 2_000;

/** Time after which demand is told again although it has not changed, in milliseconds: a new granting entry elsewhere asks by itself, so that this only repairs what it got wrong. */
const REPEAT_MS = 15_000;

/** Demand for one account, as the granting entry of one region knows it. */
export class RegionDemand {
  readonly #others = new Map<string, number>();
  #asked = 0;
  #averagedAtMs: number;
  /** What this region counts as its demand, per second; undefined until the others have answered. */
  #applied: number | undefined;
  #toldAtMs = -Infinity;
  #told = 0;

  constructor(nowMs: number) {
    this.#averagedAtMs = nowMs;
  }

  /** Demand of this region that others may count on, per second. */
  get applied(): number {
    return this.#applied ?? 0;
  }

  /** Demand that was told last, per second. */
  get told(): number {
    return this.#told;
  }

  /** Whether the other regions have answered once. */
  get isStarted(): boolean {
    return this.#applied !== undefined;
  }

  /** Takes over the demand that the other regions count for this one, per second: its former granting entry told it. */
  start(perSecond: number): void {
    this.#applied = perSecond;
    this.#told = perSecond;
    this.#asked = Math.max(this.#asked, (perSecond * AVERAGING_MS) / SECOND_MS);
  }

  /** Counts requests that were asked for. */
  onAsked(count: number, nowMs: number): void {
    this.#decay(nowMs);
    this.#asked += count;
  }

  /** Requests per second asked for lately. */
  perSecond(nowMs: number): number {
    this.#decay(nowMs);
    return (this.#asked * SECOND_MS) / AVERAGING_MS;
  }

  /** What another region told last, per second; undefined if it has told nothing. */
  heardOf(region: string): number | undefined {
    return this.#others.get(region);
  }

  /** Takes the demand of another region, per second; it holds until that region tells another one. */
  onHeard(region: string, perSecond: number): void {
    this.#others.set(region, perSecond);
  }

  /** Returns the demand to be told to the other regions, per second; undefined if there is no news. */
  takeNews(
    quota: Quota,
    tolerance: QuotaTolerance,
    others: readonly string[],
    nowMs: number,
  ): number | undefined {
    const regions = others.length + 1;
    const {requestsPerSecond} = quota;
    const extra = extraBurst(quota, tolerance) / regions;
    const measured = this.perSecond(nowMs);
    const isLittle = measured < (requestsPerSecond / regions) * TOLD_SHARE;
    const demand = isLittle ? 0 : measured;
    const change = Math.abs(demand - this.#told);
    const smallest = Math.max(
      this.#told * CHANGE_SHARE,
      requestsPerSecond * RATE_CHANGE_SHARE,
    );
    const isShort =
      demand > this.#told &&
      demand > this.allocate(quota, others) * SHORT_SHARE;
    const covered = isShort ? 0 : (extra * SECOND_MS) / COVERED_MS;
    const threshold = Math.max(smallest, covered);
    const isDue = nowMs - this.#toldAtMs >= REPEAT_MS;
    const isAnyTold = demand > 0 || this.#told > 0;
    const isNew = this.#applied === undefined || this.#told !== this.#applied;
    if (!(change > threshold || (isDue && isAnyTold) || isNew)) {
      return undefined;
    }
    this.#told = demand;
    this.#toldAtMs = nowMs;
    if (this.#applied !== undefined) {
      this.#applied = Math.min(this.#applied, demand);
    }
    return demand;
  }

  /** Called once all other regions have answered that they know a demand. */
  onAllAnswered(perSecond: number): void {
    this.#applied = perSecond;
  }

  /**
   * Returns the requests per second that this region may grant.
   * @param others The other regions. One that has told nothing counts as using the whole rate.
   */
  allocate({requestsPerSecond}: Quota, others: readonly string[]): number {
    const own = this.applied;
    const heard = others.map(
      region => this.#others.get(region) ?? requestsPerSecond,
    );
    const regions = others.length + 1;
    const total = heard.reduce((sum, demand) => sum + demand, own);
    // With equality, a region without applied demand would get nothing; the floor applies.
    if (total < requestsPerSecond) {
      return own + (requestsPerSecond - total) / regions;
    }
    const floor = requestsPerSecond * FLOOR_SHARE;
    const weight = Math.max(own, floor);
    const weights = heard.reduce(
      (sum, demand) => sum + Math.max(demand, floor),
      weight,
    );
    return (requestsPerSecond * weight) / weights;
  }

  #decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#averagedAtMs);
    this.#asked *= Math.exp(-elapsedMs / AVERAGING_MS);
    this.#averagedAtMs = nowMs;
  }
}
