/**
 * A record store that reads changes from an older entry (its feeder) where
 * there is one. The oldest entry of all reads the store, the oldest of each
 * availability zone follows that one, and the rest follow an entry of their
 * zone. An entry whose feeders fail, are unresponsive or have only stale
 * records reads the store itself, and tries a feeder again later.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from '@wasabidyke/policy';
import {Err, Ok, type Clock, type Result} from '@wasabidyke/shared';
import type {EntryRecord} from '../members/entry-record.js';
import type {DepartedStart} from '../members/upstream-record.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import {
  RecordStore,
  type RecordChanges,
  type RecordLease,
  type RecordStoreError,
} from '../store/record-store.js';
import {LeaseGuard} from '../store/lease-guard.js';
import {isBefore, type StorePosition} from '../store/store-eras.js';
import {MAXIMUM_FEED_AGE_MS} from './feed-messages.js';
import type {FedChanges, FeederConnection} from './feeder-connection.js';
import {FeederSelection} from './feeder-selection.js';
import {RecordFreshness} from './record-freshness.js';
import {STORE_SOURCE, type RecordsOrigin} from './records-origin.js';

/** Constructor options. */
export interface FollowerRecordStoreOptions {
  readonly store: RecordStore;
  /** Entries that may feed this one, best first; empty when this entry has to read the store itself. */
  readonly feeders: () => readonly EntryRecord[];
  /** Whether other entries follow this one. */
  readonly isFeeding: () => boolean;
  /** Whether no entry is announced yet. */
  readonly isNoEntryAnnounced: () => boolean;
  /** Called with the upstreams that have left, as a feeder tells of them. */
  readonly onDepartures: (departures: readonly DepartedStart[]) => void;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** Time after its start for which an entry polls the store while no entry is announced, in milliseconds. */
const FIRST_ENTRY_POLLING_MS = 15_000;

/** Time after its start for which an entry polls the store when its feeders do not respond yet, in milliseconds: after a restart of all entries, feeders respond within it. */
const STARTUP_POLLING_MS = 1_500;

/** Time between polls, in milliseconds. Ten polls cost as much as one watch. */
const POLL_INTERVAL_MS = 700;

/** Time for which an entry that learned of a new era first waits for its feeder to read it, and the pause between its tries, in milliseconds. Source: an entry that reads the store asks it several times within it. */
const FEEDER_ERA_WAIT_MS = 900;
const FEEDER_ERA_PAUSE_MS = 100;

/** Time within which the store must confirm the records of an entry that others follow, in milliseconds. Source: together with the time that two entries between the store and a follower add, it stays within `MAXIMUM_FEED_AGE_MS`. */
const FEEDING_CONFIRMATION_MS = 900;

/** Maximum number of feeders tried in one `watch` call. */
const MAXIMUM_FEEDER_TRIES = 2;

/** A failure within this time leaves time to try another feeder, in milliseconds. */
const QUICK_FAILURE_MS = 200;

/** A record store that reads changes from another entry where possible. */
export class FollowerRecordStore extends RecordStore {
  readonly #options: FollowerRecordStoreOptions;
  readonly #feeders: FeederSelection;
  #isDirect = true;
  #source: string | undefined;
  /** Name of the feeder that answered the last read; undefined for the store. */
  #lastFeeder: string | undefined;
  readonly #freshness = new RecordFreshness();
  /** Name of the feeder that was found to be behind this entry. */
  #feederBehind: string | undefined;
  readonly #createdAtMs: number;
  readonly #leases: LeaseGuard;

  constructor(options: FollowerRecordStoreOptions) {
    super(options.store.eras);
    this.#options = options;
    this.#leases = new LeaseGuard(options.store);
    this.eras.onOdd = ({named, era}) =>
      options.log.record('store.era-odd', {named, era});
    this.#createdAtMs = options.clock.now();
    this.#feeders = new FeederSelection(options);
  }

  /** Whether this entry reads the store itself. */
  get isDirect(): boolean {
    return this.#isDirect;
  }

  /** Time since the store itself last confirmed that no record is missing, including delays at the entries in between, in milliseconds. */
  get ageMs(): number {
    return this.#freshness.ageMs(this.#options.clock.now());
  }

  /** Store revision up to which all records were read; 0 before the first read. */
  get revision(): number {
    return this.#freshness.revision;
  }

  /** Where the records were read last, and how old they are. */
  get origin(): RecordsOrigin {
    const {revision, ageMs} = this;
    const {askedAtMs} = this.#freshness;
    const feeder = this.#lastFeeder ?? STORE_SOURCE;
    return {feeder, revision, ageMs, askedAtMs};
  }

  /** Never returns less than was read before, unless the store itself holds less. */
  override async readAll(
    mayBeOld: boolean,
  ): Promise<Result<RecordChanges, RecordStoreError>> {
    const feeder = this.#feeders.select();
    if (feeder !== undefined) {
      const fed = await this.#readAllFromFeeder(feeder);
      if (fed.isErr()) {
        this.#feeders.onFailure(feeder, fed.error);
      } else if (this.#isFeederBehind(fed.value)) {
        this.#onFeederBehind(feeder, fed.value);
      } else {
        const {confirmedAtMs, askedAtMs, departures} = fed.value;
        this.#options.onDepartures(departures);
        this.#lastFeeder = feeder.name;
        this.#freshness.onCompleteRead(fed.value, confirmedAtMs, askedAtMs);
        return fed;
      }
    }
    this.#isDirect = true;
    this.#lastFeeder = undefined;
    return mayBeOld ? this.#readAllCheaply() : this.#readAllFromStore();
  }

  /** Reads all records of a feeder; waits for one that has not read the era yet that this entry knows of. */
  async #readAllFromFeeder(
    feeder: FeederConnection,
  ): Promise<Result<FedChanges, RecordStoreError>> {
    const {clock} = this.#options;
    const waitsUntilMs = clock.now() + FEEDER_ERA_WAIT_MS;
    for (;;) {
      const fed = await feeder.readAll(this.eras.current);
      if (fed.isOk()) {
        this.eras.onNamed(fed.value.era);
      }
      const isEarlier = fed.isOk() && fed.value.era < this.eras.current;
      if (!isEarlier || clock.now() > waitsUntilMs) {
        return fed;
      }
      await sleep(FEEDER_ERA_PAUSE_MS);
    }
  }

  #isFeederBehind(fed: StorePosition): boolean {
    return fed.era < this.eras.current || this.#freshness.wouldTakeBack(fed);
  }

  /** Reads records that may be old, and the revision beside it. Reads all again if a record is missing. */
  async #readAllCheaply(): Promise<Result<RecordChanges, RecordStoreError>> {
    const {store, clock, log} = this.#options;
    const askedAtMs = clock.now();
    const [read, current] = await Promise.all([
      store.readAll(true),
      store.readRevision(false),
    ]);
    if (read.isErr()) {
      return read;
    }
    const {revision, era} = read.value;
    if (current.isErr()) {
      // Callers are better served by records that may be old than by none.
      const {kind, message: cause} = current.error;
      log.record('records.unconfirmed', {revision, kind, cause});
      this.#freshness.onCompleteRead(read.value, -Infinity, askedAtMs);
      return read;
    }
    const storeRevision = current.value.revision;
    if (era !== current.value.era || revision < storeRevision) {
      log.record('records.old', {revision, storeRevision});
      return this.#readAllFromStore();
    }
    this.#freshness.onCompleteRead(read.value, askedAtMs, askedAtMs);
    return read;
  }

  async #readAllFromStore(): Promise<Result<RecordChanges, RecordStoreError>> {
    const {store, clock} = this.#options;
    const askedAtMs = clock.now();
    const read = await store.readAll(false);
    if (read.isOk()) {
      this.#freshness.onCompleteRead(read.value, askedAtMs, askedAtMs);
    }
    return read;
  }

  override async watch(
    after: StorePosition,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RecordChanges, RecordStoreError>> {
    for (let tries = 0; tries < MAXIMUM_FEEDER_TRIES; tries++) {
      const feeder = this.#feeders.select();
      if (feeder === undefined) {
        break;
      }
      const startedAtMs = this.#options.clock.now();
      const fed = await this.#watchFeeder(feeder, after);
      if (fed.isOk() || fed.error.kind === 'history-lost') {
        this.#setSource(feeder.name);
        return fed;
      }
      this.#feeders.onFailure(feeder, fed.error);
      const tookMs = this.#options.clock.now() - startedAtMs;
      if (tookMs > QUICK_FAILURE_MS) {
        this.#feeders.bypass();
      }
    }
    if (this.#feeders.select() !== undefined) {
      this.#feeders.bypass();
    }
    this.#setSource(undefined);
    const polled = this.#isStarting ? await this.#poll(after) : undefined;
    if (polled !== undefined) {
      return polled;
    }
    const limitMs = Math.min(
      this.#toOwnWaitMs(waitMs),
      this.#feeders.remainingDirectMs,
    );
    const {clock, store} = this.#options;
    const askedAtMs = clock.now();
    const watched = await store.watch(after, limitMs, signal);
    if (watched.isOk() && watched.value.revision >= after.revision) {
      const answeredByMs = Math.min(clock.now(), askedAtMs + limitMs);
      this.#freshness.onChanges(watched.value, answeredByMs, askedAtMs);
    }
    return watched;
  }

  /** An entry that reads the store for itself alone needs no proof while it waits; one call lasts until it follows another again. */
  #toOwnWaitMs(waitMs: number): number {
    return waitMs === 0 || this.#options.isFeeding()
      ? waitMs
      : this.confirmationMs;
  }

  /** @param feeder Name of the entry that changes are read from; undefined for the store. */
  #setSource(feeder: string | undefined): void {
    this.#isDirect = feeder === undefined;
    this.#lastFeeder = feeder;
    if (feeder !== this.#source) {
      this.#source = feeder;
      this.#options.log.record('records.source', {
        feeder: feeder ?? STORE_SOURCE,
      });
    }
  }

  /** Whether to poll instead of watch: when all entries start together, all would watch the store until their feeders respond. */
  get #isStarting(): boolean {
    const {clock, feeders, isNoEntryAnnounced} = this.#options;
    const ageMs = clock.now() - this.#createdAtMs;
    if (isNoEntryAnnounced()) {
      // Polls may be old; a watch between them confirms that no record is missing.
      const isConfirmed = this.ageMs <= MAXIMUM_FEED_AGE_MS;
      return isConfirmed && ageMs < FIRST_ENTRY_POLLING_MS;
    }
    return feeders().length > 0 && ageMs < STARTUP_POLLING_MS;
  }

  /**
   * Reads records that may be old; undefined if they are older than what is
   * known. The revision stays unchanged, so that a later watch also returns
   * deletions.
   */
  async #poll(
    after: StorePosition,
  ): Promise<Result<RecordChanges, RecordStoreError> | undefined> {
    await sleep(POLL_INTERVAL_MS);
    const read = await this.#options.store.readAll(true);
    if (read.isOk() && isBefore(read.value, after)) {
      return undefined;
    }
    return read.map(({changes}) => {
      const newer = changes.filter(({revision}) => revision > after.revision);
      this.#freshness.onPolled(newer.map(({revision}) => revision));
      return {changes: newer, ...after};
    });
  }

  override get confirmationMs(): number {
    return this.#options.isFeeding()
      ? FEEDING_CONFIRMATION_MS
      : super.confirmationMs;
  }

  /** Requests to a feeder are free, and a poll costs next to nothing. */
  override get isWatchBilled(): boolean {
    return this.#isDirect && !this.#isStarting;
  }

  override readRevision(
    mayBeOld: boolean,
  ): Promise<Result<StorePosition, RecordStoreError>> {
    return this.#options.store.readRevision(mayBeOld);
  }

  override put(
    key: string,
    value: Buffer,
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>> {
    return this.#leases.put(key, value, lease);
  }

  override grantLease(
    lifetimeMs: number,
  ): Promise<Result<RecordLease, RecordStoreError>> {
    return this.#options.store.grantLease(lifetimeMs);
  }

  override keepLease(
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>> {
    return this.#leases.keep(lease);
  }

  override endLease(
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>> {
    return this.#leases.end(lease);
  }

  override async close(): Promise<void> {
    this.#feeders.close();
    await this.#options.store.close();
  }

  /** Returns no changes while the feeder is behind this entry, and fails once the records are too old to wait for it. */
  async #watchFeeder(
    feeder: FeederConnection,
    after: StorePosition,
  ): Promise<Result<RecordChanges, RecordStoreError>> {
    const fed = await feeder.watch(after);
    if (fed.isErr()) {
      return fed;
    }
    const {era, revision, confirmedAtMs, askedAtMs, departures} = fed.value;
    this.#options.onDepartures(departures);
    this.eras.onNamed(era);
    if (after.era !== this.eras.current) {
      return Err({kind: 'history-lost', message: `the store is in era ${era}`});
    }
    if (!isBefore(fed.value, after)) {
      this.#feederBehind = undefined;
      this.#freshness.onChanges(fed.value, confirmedAtMs, askedAtMs);
      return fed;
    }
    this.#onFeederBehind(feeder, fed.value);
    return this.ageMs > MAXIMUM_FEED_AGE_MS
      ? Err({
          kind: 'unavailable',
          message: `feeder is at revision ${revision} of era ${era}, behind ${after.revision} of era ${after.era}`,
        })
      : Ok({changes: [], ...after});
  }

  #onFeederBehind(
    {name}: FeederConnection,
    {era, revision}: StorePosition,
  ): void {
    if (this.#feederBehind !== name) {
      this.#feederBehind = name;
      this.#options.log.record('feeder.behind', {
        feeder: name,
        feederEra: era,
        feederRevision: revision,
        era: this.eras.current,
        revision: this.#freshness.revision,
        ageMs: Math.round(this.ageMs),
      });
    }
  }
}
