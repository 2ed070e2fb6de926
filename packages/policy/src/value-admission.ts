/**
 * Decides on requests of several priorities at one service. A less urgent
 * request may not take the last free slots, which are reserved for more urgent
 * ones while these find few. All entries read the free slots from the load
 * reports of the same upstreams, so that they come to the same threshold
 * without a message, also an entry that sees one request a second.
 */

import {SECOND_MS} from '@wasabidyke/shared';
import {AccountDemand} from './account-demand.js';
import {OverloadSpan} from './overload-span.js';
import {spreadReturnMs} from './return-delay.js';
import type {RandomSource} from './selection.js';
import {ServedShares} from './served-shares.js';
import {
  ServiceAdmission,
  type AdmissionDecision,
  type DemandQuery,
  type RequestDemand,
} from './service-admission.js';
import {WaitingRequests} from './waiting-requests.js';

/** Largest share of the time until the target that the estimate of a queued request may take: what is ahead of it in the queue is known less well than its own work. */
const QUEUED_ESTIMATE_SHARE = 0.6;

/** The same for a request that takes a slot at once. */
const SLOT_ESTIMATE_SHARE = 0.9;

/**
 * Slots that are reserved for each more urgent priority under full pressure, as
 * a multiple of the square root of the slots considered: the number of free
 * slots varies by about that. A reserve in proportion to the slots refuses
 * usual requests of large fleets.
 */
const RESERVED_ROOTS = 1.5;

/** Free slots up to which they are scarce, as the same multiple: below what is reserved, so that the pressure falls once more is free than the more urgent need. */
const SCARCE_ROOTS = 0.8;

/** Slots that stay reserved when a request has waited for as long as it may, until refusals of its priority last, as the same multiple: a moment of scarcity refuses nobody. */
const LAST_RESERVED_ROOTS = 0.4;

/** Largest share of the slots that is reserved in all. */
const MAXIMUM_RESERVED_SHARE = 0.75;

/** Time constant of the pressure, in milliseconds: an entry that sees one request a second judges by the newest one mainly. */
const PRESSURE_MS = SECOND_MS;

/** Pressure below which no slot is reserved. */
const NEGLIGIBLE_PRESSURE = 0.2;

/** How often each priority is sent at least, as a part of how often all are: a little over the quarter that is guaranteed, since a priority is raised only after it has fallen below. */
const FLOOR_SHARE = 0.3;

/** Work as a multiple of the mean of its priority from which on a request gives way to the others of its priority. */
const HEAVY_WORK_FACTOR = 2;

/** Part of the step between two priorities by which heavy work gives way. */
const HEAVY_LEVEL = 0.5;

/** The same for an account that sends more than usual: above 1, so that it takes no slots from less urgent requests of accounts that send as always either. */
const EXCESS_LEVEL = 1.5;

/** Admission by priority, work and account. The work of a decision grows with the number of priorities only. */
export class ValueAdmission extends ServiceAdmission {
  readonly #random: RandomSource;
  readonly #waiting = new WaitingRequests();
  readonly #shares = new ServedShares();
  readonly #accounts = new AccountDemand();
  /** Overloads by priority. */
  readonly #overloads = new Map<number, OverloadSpan>();
  #pressure = 0;
  #pressureAtMs = 0;

  constructor(random: RandomSource) {
    super();
    this.#random = random;
  }

  override get pressure(): number {
    return this.#pressure;
  }

  override onArrival(demand: RequestDemand, nowMs: number): void {
    const {account, workMs} = demand;
    if (account !== undefined) {
      this.#accounts.onArrival(account, workMs, nowMs);
    }
    // What an account sends beyond its usual must not raise the others of its priority.
    if (this.#excess(demand, nowMs) === 0) {
      this.#shares.onArrival(demand, nowMs);
    }
  }

  override moreUrgentShare(priority: number): number {
    return this.#shares.moreUrgentShare(priority);
  }

  override decide(query: DemandQuery): AdmissionDecision {
    const {nowMs, priority, considered, slowingSlots} = query;
    const level = this.#level(priority);
    const moreUrgent = this.#waiting.countMoreUrgent(level);
    const freeSlots = query.freeSlots - moreUrgent;
    const hasSlot = freeSlots > slowingSlots;
    if (query.freeSlotEstimateMs > query.targetRemainingMs) {
      return hasSlot && this.#mayBeLate(query, level) ? 'send' : 'refuse';
    }
    this.#updatePressure(query);
    const reserved = this.#reservedSlots(level, query);
    // With nothing reserved, the queue of an upstream may be used as well.
    if (reserved === 0 || considered.freeSlots - moreUrgent > reserved) {
      if (hasSlot || this.#isQueuedInTime(query, freeSlots, level)) {
        return 'send';
      }
    }
    if (query.waitedMs < query.maximumWaitMs) {
      return 'wait';
    }
    const lastReserved = Math.sqrt(considered.slots) * LAST_RESERVED_ROOTS;
    const mayUseReserved =
      considered.freeSlots > lastReserved &&
      this.#excess(query, nowMs) === 0 &&
      !this.#overload(priority).isLasting(nowMs);
    return hasSlot && mayUseReserved ? 'send' : 'refuse';
  }

  override onWait(priority: number): () => void {
    return this.#waiting.add(priority);
  }

  override onSend(
    demand: RequestDemand,
    nowMs: number,
    isRepeat: boolean,
  ): void {
    this.#overload(demand.priority).onSend();
    if (!isRepeat && this.#excess(demand, nowMs) === 0) {
      this.#shares.onSend(demand);
    }
  }

  /** The more urgent come back earlier: their own overload is shorter, and counts for less. */
  override refuse(
    slotDelayMs: number,
    nowMs: number,
    priority: number,
  ): number {
    const lastedMs = this.#overload(priority).onRefusal(nowMs);
    const delayMs = slotDelayMs + lastedMs * this.#shares.rank(priority);
    return spreadReturnMs(delayMs, this.#random);
  }

  /** Whether a request that is late anywhere may take a slot: nobody else needs it yet, or its priority is served too rarely. */
  #mayBeLate({priority, nowMs}: DemandQuery, level: number): boolean {
    const isScarce =
      this.#pressure > NEGLIGIBLE_PRESSURE ||
      this.#overload(priority).isLasting(nowMs);
    return level !== priority || !isScarce;
  }

  /** Whether a request is in time in a queue, or in a slot whose use slows the others. */
  #isQueuedInTime(
    query: DemandQuery,
    freeSlots: number,
    level: number,
  ): boolean {
    const share = freeSlots > 0 ? SLOT_ESTIMATE_SHARE : QUEUED_ESTIMATE_SHARE;
    return (
      query.estimateMs <= query.targetRemainingMs * share &&
      !this.#overload(level).isLasting(query.nowMs)
    );
  }

  /** Returns the priority by which a request is admitted: the most urgent one if its own is served too rarely. */
  #level(priority: number): number {
    const isBelowFloor =
      this.#shares.isBelowAll(priority, FLOOR_SHARE) ||
      this.#shares.isBelowLessUrgent(priority);
    return isBelowFloor ? this.#shares.mostUrgent(priority) : priority;
  }

  /** Number of the slots considered that are reserved for requests that go before this one. */
  #reservedSlots(level: number, query: DemandQuery): number {
    const {priority, workMs, considered} = query;
    const meanMs = this.#shares.meanWorkMs(priority) ?? workMs;
    const isHeavy = workMs > meanMs * HEAVY_WORK_FACTOR;
    const excessLevel = this.#excess(query, query.nowMs) * EXCESS_LEVEL;
    const heavyLevel = isHeavy ? HEAVY_LEVEL : 0;
    const pressure = this.#pressure > NEGLIGIBLE_PRESSURE ? this.#pressure : 0;
    // An excess gives way as soon as the pressure shows, so that it doesn't cause what others give way to.
    const levels =
      (this.#shares.countMoreUrgent(level) + heavyLevel) * pressure +
      excessLevel * Math.min(1, this.#pressure / NEGLIGIBLE_PRESSURE);
    const wanted = Math.sqrt(considered.slots) * levels * RESERVED_ROOTS;
    return Math.min(wanted, considered.slots * MAXIMUM_RESERVED_SHARE);
  }

  #excess({account}: RequestDemand, nowMs: number): number {
    return account === undefined ? 0 : this.#accounts.excess(account, nowMs);
  }

  #updatePressure({considered, nowMs}: DemandQuery): void {
    const isScarce =
      considered.freeSlots <= Math.sqrt(considered.slots) * SCARCE_ROOTS;
    const weight = 1 - Math.exp((this.#pressureAtMs - nowMs) / PRESSURE_MS);
    this.#pressure += weight * (Number(isScarce) - this.#pressure);
    this.#pressureAtMs = nowMs;
  }

  #overload(priority: number): OverloadSpan {
    const overload = this.#overloads.get(priority) ?? new OverloadSpan();
    this.#overloads.set(priority, overload);
    return overload;
  }
}
