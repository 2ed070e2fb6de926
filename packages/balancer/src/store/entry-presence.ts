/** Announces this entry under a lease for as long as it takes callers. */

import {setTimeout as sleep} from 'node:timers/promises';
import {Backoff} from '@wasabidyke/shared';
import type {EntryRecord} from '../members/entry-record.js';
import type {RecordLease, RecordStore} from './record-store.js';

/** Keys of announcements begin with this. */
export const ENTRY_PREFIX = 'entries/';

/** How long an entry that says nothing is still announced. */
const LEASE_MS = 10_000;

/** Time between renewals: two may fail before the lease ends. */
const RENEWAL_MS = 3_000;

const FIRST_RETRY_MS = 300;
const LAST_RETRY_MS = 1_500;

/** Announces this entry. */
export class EntryPresence {
  readonly #store: RecordStore;
  readonly #record: EntryRecord;
  readonly #backoff: Backoff;
  #lease: RecordLease | undefined;
  #isStopped = false;

  constructor(store: RecordStore, record: EntryRecord) {
    this.#store = store;
    this.#record = record;
    this.#backoff = new Backoff({
      minimumMs: FIRST_RETRY_MS,
      maximumMs: LAST_RETRY_MS,
    });
  }

  /** Announces this entry, and keeps it announced until it is stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const isAnnounced = await this.#step();
      if (isAnnounced) {
        this.#backoff.reset();
      }
      await sleep(isAnnounced ? RENEWAL_MS : this.#backoff.nextDelayMs());
    }
  }

  /** Withdraws the announcement. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    if (this.#lease !== undefined) {
      await this.#store.endLease(this.#lease);
    }
  }

  /** Returns whether the announcement stands. Failures are reported by the view of the same store. */
  async #step(): Promise<boolean> {
    if (this.#lease === undefined) {
      return this.#announce();
    }
    const kept = await this.#store.keepLease(this.#lease);
    if (kept.isErr() && kept.error.kind === 'no-lease') {
      this.#lease = undefined;
      return this.#announce();
    }
    return kept.isOk();
  }

  async #announce(): Promise<boolean> {
    const granted = await this.#store.grantLease(LEASE_MS);
    if (granted.isErr() || this.#isStopped) {
      return false;
    }
    const value = Buffer.from(JSON.stringify(this.#record));
    const key = `${ENTRY_PREFIX}${this.#record.name}`;
    const written = await this.#store.put(key, value, granted.value);
    if (written.isOk()) {
      this.#lease = granted.value;
    }
    return written.isOk();
  }
}
