/**
 * Numbered slots held by leases, so that never more processes than there are
 * slots count themselves in. The holder judges by its own monotonic clock and
 * counts from before each request, as in Gray and Cheriton, "Leases: An
 * Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency",
 * 1989: it lets go before the store does, however late it learns of it.
 */

import {
  Chart,
  LifeCycle,
  SECOND_MS,
  Task,
  type Clock,
  type Counter,
  type MetricRegistry,
  type Reporter,
} from '@wasabidyke/shared';
import {SlotCountTracker, type SlotCount} from './slot-count.js';
import type {Lease, Store} from './store.js';

/** States of the hold on a slot. */
export type NumberedLeaseState = 'searching' | 'holding' | 'released';

type NumberedLeaseTrigger = 'ACQUIRED' | 'LOST' | 'RELEASED';

const CHART = Chart.load<NumberedLeaseState, NumberedLeaseTrigger>(
  new URL('../charts/numbered-lease.chart.json', import.meta.url),
);

/** Slots that are tried in one step, so that a search doesn't flood the store. */
const MAXIMUM_TRIES = 8;

/** Steps that may wait; more would do nothing new. */
const MAILBOX_CAPACITY = 1;

/** What the lease needs. */
export interface NumberedLeaseOptions {
  readonly store: Store;
  readonly clock: Clock;
  /** Slots stand at the keys `<name>/<number>`. */
  readonly name: string;
  /** Identity of this process, unique over all of them and over restarts. */
  readonly holder: string;
  readonly timeToLiveSeconds: number;
  /** Taken off the time to live, for clocks that run at different rates, in milliseconds. */
  readonly marginMs: number;
  /** Time between renewals, in milliseconds; well below the time to live. */
  readonly stepMs: number;
  /** How long a count of slots must be told as settled before it is gone by, in milliseconds: long enough for a process that hears of nothing to lose its lease. */
  readonly settleMs: number;
  /** A random number from 0 up to 1; `Math.random` unless a test supplies one. */
  readonly random?: () => number;
  readonly metrics: MetricRegistry;
  readonly reporter: Reporter;
}

/** A slot as it is held. */
export interface HeldSlot {
  readonly number: number;
  /** Rises with each acquisition: what was saved up under another term is void. */
  readonly term: number;
  /** Of how many equal shares it is; may be more than there are slots while a change of their count is under way. */
  readonly shares: number;
}

interface HeldLease {
  readonly lease: Lease;
  /** Until when it certainly stands, by this process's monotonic clock. */
  standsUntilMs: number;
}

/** Holds one numbered slot, or searches for one. */
export class NumberedLease extends Task<'step'> {
  readonly #options: NumberedLeaseOptions;
  readonly #lifeCycle: LifeCycle<NumberedLeaseState, NumberedLeaseTrigger>;
  readonly #terms: Counter;
  readonly #counts: SlotCountTracker;
  #lease: HeldLease | undefined;
  #number: number | undefined;
  #term = 0;
  /** The slot to try first: one whose write may have taken effect, or the last held. */
  #candidate: number | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: NumberedLeaseOptions) {
    super(`slot-${options.name}`, MAILBOX_CAPACITY, (_task, error) =>
      this.#lose(String(error)),
    );
    this.#options = options;
    this.#lifeCycle = new LifeCycle(CHART);
    this.#counts = new SlotCountTracker(options.settleMs);
    this.#terms = options.metrics.counter(
      'wasabidyke_slot_terms_total',
      'Times that a numbered slot was acquired.',
      {slots: options.name},
    );
  }

  /** How this process stands with its slot; what it may use, `held` tells. */
  get state(): NumberedLeaseState {
    return this.#lifeCycle.state;
  }

  /** The slot, only while its lease certainly stands at `nowMs` of this process's monotonic clock. */
  held(nowMs: number): HeldSlot | undefined {
    const number = this.#number;
    const standsUntilMs = this.#lease?.standsUntilMs ?? -Infinity;
    if (number === undefined || number >= this.#counts.toUsable(nowMs)) {
      return undefined;
    }
    const shares = this.#counts.toShares(nowMs);
    const held = {number, term: this.#term, shares};
    return nowMs < standsUntilMs ? held : undefined;
  }

  /** The number of the slot, under the same condition as `held`. */
  heldNumber(nowMs: number): number | undefined {
    return this.held(nowMs)?.number;
  }

  /** Tells how many slots there are; repeated as often as its caller likes. A slot or a share is cut at once, and given more only when the count has settled. Before the first settled count there are no slots. */
  setCount(count: SlotCount): void {
    this.#counts.tell(count, this.#options.clock.now());
  }

  /** Begins to step, and goes on until it is released or closed. */
  start(): void {
    clearTimeout(this.#timer);
    this.post('step');
    const {stepMs, random = Math.random} = this.#options;
    const delayMs = stepMs * (0.75 + random() / 2);
    this.#timer = setTimeout(() => this.start(), delayMs);
  }

  /** Gives the slot back. It counts as not held from this call on. */
  async release(): Promise<void> {
    const lease = this.#lease?.lease;
    this.close();
    if (lease !== undefined) {
      await this.#options.store.revokeLease(lease);
    }
  }

  override close(): void {
    super.close();
    clearTimeout(this.#timer);
    this.#lifeCycle.trigger('RELEASED');
    this.#number = undefined;
    this.#lease = undefined;
  }

  /** Renews the lease, or tries to acquire a slot. */
  async step(): Promise<void> {
    if (this.#number !== undefined && this.#number >= this.#usable()) {
      await this.#giveUp();
    }
    if (this.#lease !== undefined) {
      await this.#renew(this.#lease);
    }
    if (this.#number === undefined && this.#usable() > 0) {
      await this.#search();
    }
  }

  protected override handle(): Promise<void> {
    return this.step();
  }

  async #renew(held: HeldLease): Promise<void> {
    const sentMs = this.#options.clock.now();
    const renewed = await this.#options.store.keepLeaseAlive(held.lease);
    if (renewed.isErr()) {
      if (this.#options.clock.now() >= held.standsUntilMs) {
        this.#suspend(renewed.error.message);
      }
      return;
    }
    if (!renewed.value) {
      this.#lose('the lease lapsed');
      return;
    }
    held.standsUntilMs = this.#toStandsUntil(sentMs, held.lease);
  }

  async #search(): Promise<void> {
    const held = this.#lease ?? (await this.#grant());
    if (held === undefined || this.#lifeCycle.isFinal) {
      return;
    }
    this.#lease = held;
    for (const number of this.#listCandidates()) {
      if (await this.#try(number, held)) {
        return;
      }
    }
  }

  /** Tries one slot. Returns whether the search is over for this step. */
  async #try(number: number, {lease}: HeldLease): Promise<boolean> {
    const key = `${this.#options.name}/${number}`;
    const value = `${this.#options.holder} ${lease.id}`;
    const options = {key, expectedVersion: 0, value, lease};
    const swap = await this.#options.store.compareAndSwap(options);
    if (swap.isErr()) {
      this.#candidate = number;
      if (swap.error.kind === 'refused') {
        this.#lose(swap.error.message);
      }
      return true;
    }
    const isOurs = swap.value.isSwapped || swap.value.present?.value === value;
    if (isOurs) {
      this.#acquire(number);
    }
    return isOurs;
  }

  async #grant(): Promise<HeldLease | undefined> {
    const {store, clock, timeToLiveSeconds} = this.#options;
    const sentMs = clock.now();
    const granted = await store.grantLease(timeToLiveSeconds);
    if (granted.isErr()) {
      return undefined;
    }
    const lease = granted.value;
    return {lease, standsUntilMs: this.#toStandsUntil(sentMs, lease)};
  }

  #toStandsUntil(sentMs: number, lease: Lease): number {
    const {timeToLiveSeconds, marginMs} = this.#options;
    const seconds = Math.min(timeToLiveSeconds, lease.timeToLiveSeconds);
    return sentMs + seconds * SECOND_MS - marginMs;
  }

  #listCandidates(): readonly number[] {
    const {random = Math.random} = this.#options;
    const count = this.#usable();
    const start = Math.floor(random() * count);
    const tries = Math.min(MAXIMUM_TRIES, count);
    const numbers = Array.from(
      {length: tries},
      (_, index) => (start + index) % count,
    );
    const candidate = this.#candidate;
    return candidate === undefined || candidate >= count
      ? numbers
      : [candidate, ...numbers];
  }

  #usable(): number {
    return this.#counts.toUsable(this.#options.clock.now());
  }

  #acquire(number: number): void {
    if (!this.#lifeCycle.trigger('ACQUIRED')) {
      return;
    }
    this.#number = number;
    this.#candidate = number;
    this.#term += 1;
    this.#terms.add();
    this.#report('info', 'slot.acquired', `Slot ${number} is held.`);
  }

  /** The lease may stand or not at the store: the slot is void, but tried again under the same lease. */
  #suspend(reason: string): void {
    this.#number = undefined;
    if (this.#lifeCycle.trigger('LOST')) {
      this.#report('warn', 'slot.lost', `No slot is held: ${reason}.`);
    }
  }

  #lose(reason: string): void {
    this.#suspend(reason);
    this.#lease = undefined;
  }

  async #giveUp(): Promise<void> {
    const lease = this.#lease?.lease;
    this.#candidate = undefined;
    this.#lose('there are fewer slots now');
    if (lease !== undefined) {
      await this.#options.store.revokeLease(lease);
    }
  }

  #report(level: 'info' | 'warn', code: string, message: string): void {
    const subject = this.#options.name;
    this.#options.reporter.report({level, code, subject, message});
  }
}
