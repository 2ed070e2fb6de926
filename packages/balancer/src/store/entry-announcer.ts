/** Announces this entry under a lease while it accepts callers. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from '@wasabidyke/policy';
import {Backoff, type Clock} from '@wasabidyke/shared';
import type {EntryRecord} from '../members/entry-record.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {RecordLease, RecordStore} from './record-store.js';

/** Key prefix of the announcements of entries. */
export const ENTRY_KEY_PREFIX = 'entries/';

/** Lease time, after which the announcement of an unresponsive entry expires, in milliseconds. */
const LEASE_MS = 10_000;

/** Time between lease renewals, in milliseconds: two may fail before the lease expires. */
const RENEWAL_INTERVAL_MS = 3_000;

const MINIMUM_RETRY_DELAY_MS = 300;
const MAXIMUM_RETRY_DELAY_MS = 1_500;

/** Time between tries to withdraw the announcement, in milliseconds: an entry that stops has a few seconds for it. */
const WITHDRAWAL_RETRY_DELAY_MS = 250;

/** Minimum time after which an entry announces itself in a new era of the store, and the jitter added to it, in milliseconds. Source: by the minimum, all entries have learned of the era and renew no lease of an earlier one; with the jitter, it stays within the time after which a missing entry is removed. */
const MINIMUM_REANNOUNCEMENT_MS = 700;
const REANNOUNCEMENT_JITTER_MS = 1_500;

/** Options of `EntryAnnouncer`. */
export interface EntryAnnouncerOptions {
  readonly store: RecordStore;
  /** Called for each announcement. */
  readonly record: () => EntryRecord;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** Keeps the announcement of this entry in the store. */
export class EntryAnnouncer {
  readonly #options: EntryAnnouncerOptions;
  readonly #backoff: Backoff;
  #lease: RecordLease | undefined;
  /** Whether the announcement was written under the lease. */
  #isWritten = false;
  #isStopped = false;
  /** The write that is under way. */
  #writing: Promise<boolean> | undefined;
  #wake: () => void = () => {};

  constructor(options: EntryAnnouncerOptions) {
    this.#options = options;
    this.#backoff = new Backoff({
      minimumMs: MINIMUM_RETRY_DELAY_MS,
      maximumMs: MAXIMUM_RETRY_DELAY_MS,
    });
    options.store.eras.onChange(() => this.#wake());
  }

  /** Announces this entry and renews the lease until `stop`. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      this.#writing = this.#renewOrAnnounce();
      const isAnnounced = await this.#writing;
      if (isAnnounced) {
        this.#backoff.reset();
      }
      await this.#pause(
        isAnnounced ? RENEWAL_INTERVAL_MS : this.#backoff.nextDelayMs(),
      );
      if (this.#hasLeaseOfEarlierEra) {
        const jitterMs = this.#options.random.nextBelow(
          REANNOUNCEMENT_JITTER_MS,
        );
        await sleep(MINIMUM_REANNOUNCEMENT_MS + jitterMs);
      }
    }
  }

  get #hasLeaseOfEarlierEra(): boolean {
    const {eras} = this.#options.store;
    return this.#lease !== undefined && this.#lease.era !== eras.current;
  }

  /** Ends after a time, or when the store begins another era. */
  #pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, milliseconds);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Withdraws the announcement; tries for `withinMs` milliseconds while the store fails. */
  async stop(withinMs: number): Promise<void> {
    const {store, clock, log} = this.#options;
    const startedAtMs = clock.now();
    this.#isStopped = true;
    // A write that is under way may be done after the lease has been ended.
    await this.#writing;
    let tries = 0;
    let cause: string | undefined;
    while (this.#lease !== undefined) {
      const ended = await store.endLease(this.#lease);
      tries += 1;
      if (ended.isOk() || ended.error.kind === 'no-lease') {
        this.#lease = undefined;
        cause = undefined;
        break;
      }
      cause = ended.error.message;
      if (clock.now() - startedAtMs >= withinMs) {
        break;
      }
      await sleep(WITHDRAWAL_RETRY_DELAY_MS);
    }
    log.record('entry.withdrawn', {
      isWithdrawn: this.#lease === undefined,
      tries,
      tookMs: Math.round(clock.now() - startedAtMs),
      cause,
    });
  }

  /** Returns whether the entry is announced. Failures are logged by the watcher of the same store. */
  async #renewOrAnnounce(): Promise<boolean> {
    const isUnusable = !this.#isWritten || this.#hasLeaseOfEarlierEra;
    if (this.#lease === undefined || isUnusable) {
      return this.#announce();
    }
    const kept = await this.#options.store.keepLease(this.#lease);
    if (kept.isErr() && kept.error.kind === 'no-lease') {
      this.#lease = undefined;
      return this.#announce();
    }
    return kept.isOk();
  }

  async #announce(): Promise<boolean> {
    const {store} = this.#options;
    const granted = await store.grantLease(LEASE_MS);
    if (granted.isErr() || this.#isStopped) {
      return false;
    }
    // Kept from here on: a write whose answer is lost may have been done.
    this.#lease = granted.value;
    const record = this.#options.record();
    const value = Buffer.from(JSON.stringify(record));
    const key = `${ENTRY_KEY_PREFIX}${record.name}`;
    const written = await store.put(key, value, granted.value);
    this.#isWritten = written.isOk();
    return this.#isWritten;
  }
}
