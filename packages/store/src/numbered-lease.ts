/**
 * Numbered slots held by leases, so that never more processes than there are
 * slots count themselves in.
 */

import {
  Chart,
  LifeCycle,
  Task,
  type Counter,
  type MetricRegistry,
  type Report,
  type Reporter,
} from '@wasabidyke/shared';
import {SlotCountTracker, type SlotCount} from './slot-count.js';
import {StandingLease, type StandingLeaseOptions} from './standing-lease.js';

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
export interface NumberedLeaseOptions extends StandingLeaseOptions {
  /** Slots stand at the keys `<name>/<number>`. */
  readonly name: string;
  /** Identity of this process, unique over all of them and over restarts. */
  readonly holder: string;
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

/** Holds one numbered slot, or searches for one. */
export class NumberedLease extends Task<'step'> {
  readonly #options: NumberedLeaseOptions;
  readonly #lifeCycle: LifeCycle<NumberedLeaseState, NumberedLeaseTrigger>;
  readonly #terms: Counter;
  readonly #counts: SlotCountTracker;
  #lease: StandingLease | undefined;
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
    if (number === undefined || number >= this.#counts.toUsable(nowMs)) {
      return undefined;
    }
    const shares = this.#counts.toShares(nowMs);
    const held = {number, term: this.#term, shares};
    return this.#lease?.standsAt(nowMs) ? held : undefined;
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

  async #renew(standing: StandingLease): Promise<void> {
    const renewed = await standing.renew();
    if (renewed.isErr()) {
      if (!standing.standsAt(this.#options.clock.now())) {
        this.#suspend(renewed.error.message);
      }
    } else if (!renewed.value) {
      this.#lose('the lease lapsed');
    }
  }

  async #search(): Promise<void> {
    const standing = this.#lease ?? (await StandingLease.grant(this.#options));
    if (standing === undefined || this.#lifeCycle.isFinal) {
      return;
    }
    this.#lease = standing;
    for (const number of this.#listCandidates()) {
      if (await this.#try(number, standing)) {
        return;
      }
    }
  }

  /** Tries one slot. Returns whether the search is over for this step. */
  async #try(number: number, {lease}: StandingLease): Promise<boolean> {
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
    this.#report({
      level: 'info',
      code: 'slot.acquired',
      message: `Slot ${number} is held.`,
    });
  }

  /** The lease may stand or not at the store: the slot is void, but tried again under the same lease. */
  #suspend(reason: string): void {
    this.#number = undefined;
    if (this.#lifeCycle.trigger('LOST')) {
      this.#report({
        level: 'warn',
        code: 'slot.lost',
        message: `No slot is held: ${reason}.`,
      });
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

  #report(report: Omit<Report, 'subject'>): void {
    this.#options.reporter.report({...report, subject: this.#options.name});
  }
}
