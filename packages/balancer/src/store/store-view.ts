/**
 * What this entry believes from the store: read whole once, then watched. A
 * pause follows each change, so that changes in quick succession cost one
 * call. A cheap read of the store's revision beside the watch finds a watch
 * that has gone silent, and an outage, within about a second.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {Backoff, type Clock, type Result} from '@wasabidyke/shared';
import type {
  RecordChange,
  RecordChanges,
  RecordStore,
  RecordStoreError,
} from './record-store.js';

/** Told of what the store holds. */
export interface StoreViewListener {
  /** Everything that was read at once, before its changes are told one by one. */
  onRead(read: RecordChanges, isWhole: boolean): void;
  /** @param mayReturn Whether the store was away, so that what vanished may return. */
  onChange(change: RecordChange, mayReturn: boolean): void;
  /** The store was read whole: what isn't among `keys` has vanished. */
  onWhole(keys: ReadonlySet<string>, mayReturn: boolean): void;
  onLost(error: RecordStoreError): void;
  onRegained(): void;
}

/** What a view needs. */
export interface StoreViewOptions {
  readonly store: RecordStore;
  readonly listener: StoreViewListener;
  readonly clock: Clock;
}

/** Longest wait of one watch. Source: the store's limit on waiting is 30 seconds. */
const WATCH_WAIT_MS = 29_000;

/** Pause after a change. Source: with the time that finds a silent feeder and a read it stays within the shortest bound on draining, 2.5 seconds, by half. */
const PAUSE_MS = 600;

/** Time between reads of the revision. Source: with the age that entries between the store and a follower add, it stays within that up to which they feed. */
const REVISION_PERIOD_MS = 400;

/** Time that a watch has to tell of a revision that was read beside it, in milliseconds: a slow store answers within it. */
const CATCH_UP_MS = 400;

/** Watches that fail in a row before the store counts as lost: one that waits may be cut at any time. */
const LOST_WATCHES = 2;

/** Shortest and longest delay between tries. Source: with the time to connect and that for vanished records to return they stay within three seconds, after which an entry that was cut off must be up to date. */
const FIRST_RETRY_MS = 150;
const LAST_RETRY_MS = 250;

/** Time after an outage in which vanished records may return. Source: the platform's guarantee of two seconds, and one for finding the outage. */
const RETURN_TIME_MS = 3_000;

/** A view of the store. */
export class StoreView {
  readonly #options: StoreViewOptions;
  readonly #backoff: Backoff;
  #revision: number | undefined;
  #isStopped = false;
  #wasRead = false;
  #isLost = false;
  #failedWatches = 0;
  #troubledAtMs = -Infinity;
  #readAtMs = -Infinity;
  #abort = new AbortController();

  constructor(options: StoreViewOptions) {
    this.#options = options;
    this.#backoff = new Backoff({
      minimumMs: FIRST_RETRY_MS,
      maximumMs: LAST_RETRY_MS,
    });
  }

  /** Milliseconds since the store last answered. */
  get ageMs(): number {
    return this.#options.clock.now() - this.#readAtMs;
  }

  get isLost(): boolean {
    return this.#isLost;
  }

  /** Follows the store until it is stopped. */
  start(): void {
    void this.#follow();
    void this.#checkRevisions();
  }

  stop(): void {
    this.#isStopped = true;
    this.#abort.abort();
  }

  async #follow(): Promise<void> {
    while (!this.#isStopped) {
      const pauseMs = await this.#step();
      if (pauseMs > 0) {
        await sleep(pauseMs);
      }
    }
  }

  /** Reads or watches once; returns how long to pause. */
  async #step(): Promise<number> {
    const {store} = this.#options;
    const revision = this.#revision;
    if (revision === undefined) {
      // Old records will do at first: the watch tells what has changed since.
      const read = await store.readAll(!this.#wasRead);
      return this.#settle(read, changes => this.#applyWhole(changes));
    }
    const abort = new AbortController();
    this.#abort = abort;
    const watched = await store.watch(revision, WATCH_WAIT_MS, abort.signal);
    if (abort.signal.aborted) {
      // Begun anew at once; what led to it was told where it was found.
      return 0;
    }
    return this.#settle(watched, changes => this.#applyChanges(changes));
  }

  #settle(
    result: Result<RecordChanges, RecordStoreError>,
    apply: (changes: RecordChanges) => void,
  ): number {
    if (this.#isStopped) {
      return 0;
    }
    if (result.isErr()) {
      return this.#onError(result.error);
    }
    this.#onAnswer();
    this.#failedWatches = 0;
    this.#wasRead = true;
    this.#backoff.reset();
    apply(result.value);
    this.#revision = Math.max(this.#revision ?? 0, result.value.revision);
    const mayGather =
      this.#options.store.isPaidFor && result.value.changes.length > 0;
    return mayGather ? PAUSE_MS : 0;
  }

  #applyWhole(read: RecordChanges): void {
    const {changes} = read;
    this.#options.listener.onRead(read, true);
    const mayReturn = this.#mayReturn();
    const keys = new Set(changes.map(({key}) => key));
    for (const change of changes) {
      this.#options.listener.onChange(change, mayReturn);
    }
    this.#options.listener.onWhole(keys, mayReturn);
  }

  #applyChanges(read: RecordChanges): void {
    const {changes} = read;
    this.#options.listener.onRead(read, false);
    const mayReturn = this.#mayReturn();
    for (const change of changes) {
      this.#options.listener.onChange(change, mayReturn);
    }
  }

  #onError(error: RecordStoreError): number {
    if (error.kind === 'history-lost') {
      // Changes were missed: everything is read again.
      this.#revision = undefined;
      return 0;
    }
    this.#failedWatches += 1;
    if (this.#failedWatches >= LOST_WATCHES) {
      this.#onTrouble(error);
    }
    return this.#backoff.nextDelayMs();
  }

  /** Reads the revision now and then; a watch that is behind it is begun anew. */
  async #checkRevisions(): Promise<void> {
    while (!this.#isStopped) {
      await sleep(REVISION_PERIOD_MS);
      const before = this.#revision;
      const {isPaidFor} = this.#options.store;
      if (before === undefined || this.#isStopped || !isPaidFor) {
        continue;
      }
      const read = await this.#options.store.readRevision();
      if (read.isErr()) {
        this.#onTrouble(read.error);
        this.#abort.abort();
        continue;
      }
      this.#onAnswer();
      await this.#awaitRevision(read.value);
    }
  }

  async #awaitRevision(revision: number): Promise<void> {
    if ((this.#revision ?? revision) >= revision) {
      return;
    }
    await sleep(CATCH_UP_MS);
    if (this.#revision !== undefined && this.#revision < revision) {
      this.#abort.abort();
    }
  }

  #mayReturn(): boolean {
    return this.#options.clock.now() - this.#troubledAtMs < RETURN_TIME_MS;
  }

  #onTrouble(error: RecordStoreError): void {
    this.#troubledAtMs = this.#options.clock.now();
    if (!this.#isLost) {
      this.#isLost = true;
      this.#options.listener.onLost(error);
    }
  }

  #onAnswer(): void {
    this.#readAtMs = this.#options.clock.now();
    if (this.#isLost) {
      this.#isLost = false;
      // A watch that was begun in the outage may never be answered.
      this.#abort.abort();
      this.#options.listener.onRegained();
    }
  }
}
