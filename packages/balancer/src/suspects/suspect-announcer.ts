/**
 * Writes this entry's suspects to the store, where the other entries and those
 * that start later read them. While the store fails, the other entries are told
 * directly; the store gets the records once it is back.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {
  SUSPECT_LIFETIME_MS,
  type CrashGuard,
  type RandomSource,
  type SuspectRecord,
} from '@wasabidyke/policy';
import {Backoff, type Clock} from '@wasabidyke/shared';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {
  RecordLease,
  RecordStore,
  RecordStoreError,
} from '../store/record-store.js';
import type {PeerNotifier} from './peer-notifier.js';
import {
  MAXIMUM_RECORDS,
  serializeSuspect,
  toSuspectKey,
} from './suspect-record.js';

/** Options of `SuspectAnnouncer`. */
export interface SuspectAnnouncerOptions {
  readonly store: RecordStore;
  /** The record under a key in the store, as far as this entry has read; undefined if there is none. */
  readonly readStored: (key: string) => SuspectRecord | undefined;
  readonly guard: CrashGuard;
  readonly notifier: PeerNotifier;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** Minimum delay until an entry corrects a record of another one, and the jitter added to it, in milliseconds: the correction of its reporter is known everywhere within it. */
const CORRECTION_DELAY_MS = 2_000;

/** Minimum time after which records that the store has lost are written again, and the jitter added to it, in milliseconds. Source: by the minimum, no entry uses a lease of an earlier era of the store; entries spread their writes over the jitter. */
const MINIMUM_RESTORE_MS = 700;
const RESTORE_JITTER_MS = 1_500;

/** Maximum number of records of this entry in the store. Beyond it only requests under which several upstreams crashed are announced. */
const MAXIMUM_ANNOUNCED = 128;

/** Pause between writes, in milliseconds: 100 entries that lose many upstreams at once stay within the write rate of their store. */
const WRITE_PAUSE_MS = 100;

/** Minimum and maximum delay until a failed write is repeated, in milliseconds. */
const MINIMUM_RETRY_DELAY_MS = 150;
const MAXIMUM_RETRY_DELAY_MS = 400;

/** A lease is used for new records until this share of its time is over, so that records last for at least the rest. */
const LEASE_USE_SHARE = 0.5;

interface UsedLease {
  readonly lease: RecordLease;
  readonly usableUntilMs: number;
}

/** Announces suspects to other entries. */
export class SuspectAnnouncer {
  readonly #options: SuspectAnnouncerOptions;
  readonly #backoff = new Backoff({
    minimumMs: MINIMUM_RETRY_DELAY_MS,
    maximumMs: MAXIMUM_RETRY_DELAY_MS,
  });
  /** Records to be written, by key. */
  readonly #pending = new Map<string, SuspectRecord>();
  /** When the written records end, at the latest. */
  readonly #endsAtMsByKey = new Map<string, number>();
  #lease: UsedLease | undefined;
  #isWriting = false;
  #isStopped = false;

  constructor(options: SuspectAnnouncerOptions) {
    this.#options = options;
  }

  /** Writes a record to the store, and again until it is there. */
  announce(record: SuspectRecord): void {
    if (!this.#hasRoomFor(record)) {
      this.#drop(record);
      return;
    }
    this.#pending.set(toSuspectKey(record), record);
    this.#dropSurplus();
    if (!this.#isWriting) {
      void this.#writeAll();
    }
  }

  /** Replaces a record of this entry; does nothing if the store doesn't hold one. */
  correct(record: SuspectRecord): void {
    const key = toSuspectKey(record);
    if (this.#options.readStored(key) === undefined) {
      this.#pending.delete(key);
    } else {
      this.announce(record);
    }
  }

  /** Replaces a record of another entry, unless that entry or a third one does so first. */
  correctLater(record: SuspectRecord): void {
    const {random} = this.#options;
    const delayMs = CORRECTION_DELAY_MS + random.nextBelow(CORRECTION_DELAY_MS);
    const timer = setTimeout(() => {
      const stored = this.#options.readStored(toSuspectKey(record));
      if (stored !== undefined && stored.sequence < record.sequence) {
        this.announce(record);
      }
    }, delayMs);
    timer.unref();
  }

  /** Writes records again that the store has lost, unless another entry does so first. */
  restore(records: readonly SuspectRecord[]): void {
    const {random, readStored} = this.#options;
    const restore = () => {
      const missing = records.filter(
        record => readStored(toSuspectKey(record)) === undefined,
      );
      missing.forEach(record => this.announce(record));
    };
    if (records.length > 0) {
      const jitterMs = random.nextBelow(RESTORE_JITTER_MS);
      setTimeout(restore, MINIMUM_RESTORE_MS + jitterMs).unref();
    }
  }

  /** Gives up what is not written yet. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Whether the record may be added to those of this entry in the store. */
  #hasRoomFor(record: SuspectRecord): boolean {
    const key = toSuspectKey(record);
    const nowMs = this.#options.clock.now();
    for (const [announced, endsAtMs] of this.#endsAtMsByKey) {
      if (endsAtMs <= nowMs) {
        this.#endsAtMsByKey.delete(announced);
      }
    }
    return (
      this.#endsAtMsByKey.size < MAXIMUM_ANNOUNCED ||
      this.#endsAtMsByKey.has(key) ||
      record.crashes.length !== 1
    );
  }

  #drop({fingerprint}: SuspectRecord): void {
    this.#options.log.record('suspect.dropped', {fingerprint});
  }

  async #writeAll(): Promise<void> {
    this.#isWriting = true;
    for (;;) {
      const next = this.#selectNext();
      if (next === undefined || this.#isStopped) {
        break;
      }
      const [key, record] = next;
      const error = await this.#write(key, record);
      if (error === undefined) {
        this.#backoff.reset();
        await sleep(WRITE_PAUSE_MS);
      } else {
        await this.#onFailure(key, record, error);
      }
    }
    this.#isWriting = false;
  }

  /** The pending record with the most crashes. */
  #selectNext(): readonly [string, SuspectRecord] | undefined {
    const {guard} = this.#options;
    let next: readonly [string, SuspectRecord] | undefined;
    let mostCrashes = -1;
    for (const [key, record] of this.#pending) {
      const crashes = guard.crashesOf(record.fingerprint);
      if (crashes > mostCrashes) {
        next = [key, record];
        mostCrashes = crashes;
      }
    }
    return next;
  }

  async #write(
    key: string,
    record: SuspectRecord,
  ): Promise<RecordStoreError | undefined> {
    const lease = await this.#findLease();
    if ('kind' in lease) {
      return lease;
    }
    const {store} = this.#options;
    const written = await store.put(key, serializeSuspect(record), lease);
    if (written.isErr()) {
      return written.error;
    }
    this.#removePending(key, record);
    const endsAtMs = this.#options.clock.now() + lease.lifetimeMs;
    this.#endsAtMsByKey.set(key, endsAtMs);
    return undefined;
  }

  async #findLease(): Promise<RecordLease | RecordStoreError> {
    const {store, clock} = this.#options;
    const nowMs = clock.now();
    const isUsable =
      this.#lease?.lease.era === store.eras.current &&
      nowMs < this.#lease.usableUntilMs;
    if (isUsable && this.#lease !== undefined) {
      return this.#lease.lease;
    }
    const granted = await store.grantLease(SUSPECT_LIFETIME_MS);
    if (granted.isErr()) {
      return granted.error;
    }
    const lease = granted.value;
    const usableUntilMs = nowMs + lease.lifetimeMs * LEASE_USE_SHARE;
    this.#lease = {lease, usableUntilMs};
    return lease;
  }

  async #onFailure(
    key: string,
    record: SuspectRecord,
    error: RecordStoreError,
  ): Promise<void> {
    const {log, notifier} = this.#options;
    const {fingerprint, crashes} = record;
    this.#lease = undefined;
    log.record('suspect.unwritten', {
      fingerprint,
      crashes: crashes.length,
      kind: error.kind,
      cause: error.message,
    });
    if (error.kind === 'refused') {
      this.#removePending(key, record);
      return;
    }
    notifier.notify([...this.#pending.values()]);
    await sleep(this.#backoff.nextDelayMs());
  }

  /** Removes a record from those to be written, unless another one has replaced it meanwhile. */
  #removePending(key: string, record: SuspectRecord): void {
    if (this.#pending.get(key) === record) {
      this.#pending.delete(key);
    }
  }

  #dropSurplus(): void {
    if (this.#pending.size <= MAXIMUM_RECORDS) {
      return;
    }
    const {guard} = this.#options;
    const crashesOf = ([, {fingerprint}]: [string, SuspectRecord]) =>
      guard.crashesOf(fingerprint);
    const [fewest] = [...this.#pending].sort(
      (left, right) => crashesOf(left) - crashesOf(right),
    );
    this.#pending.delete(fewest[0]);
    this.#drop(fewest[1]);
  }
}
