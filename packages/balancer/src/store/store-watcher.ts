/**
 * Follows the store: reads all records once, then watches for changes. A pause
 * follows each change, so that changes in quick succession cost one call. A
 * cheap periodic read of the store revision beside the watch detects an
 * unresponsive watch or an outage within about a second.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {Backoff, type Clock, type Result} from '@wasabidyke/shared';
import {
  withoutReplaced,
  type RecordChange,
  type RecordChanges,
  type RecordStore,
  type RecordStoreError,
} from './record-store.js';

/** Called with the records and the state of the store. */
export interface StoreWatcherListener {
  /** Called with each read as a whole, before `onChange` is called for each change. */
  onRead(read: RecordChanges, isComplete: boolean): void;
  /** @param mayReappear Whether the store was just unavailable, so that records that vanished may be written again. */
  onChange(change: RecordChange, mayReappear: boolean): void;
  /** Called after a complete read: records that are not among `keys` have vanished. */
  onCompleteRead(keys: ReadonlySet<string>, mayReappear: boolean): void;
  onLost(error: RecordStoreError): void;
  onRegained(): void;
}

/** Constructor options. */
export interface StoreWatcherOptions {
  readonly store: RecordStore;
  readonly listener: StoreWatcherListener;
  readonly clock: Clock;
}

/** Maximum wait of one watch, in milliseconds. Source: the store limits waits to 30 seconds. */
const WATCH_WAIT_MS = 29_000;

/** Pause after a change, in milliseconds. Source: together with the time to detect an unresponsive feeder, and a read, it stays within half of the shortest bound on draining, 2.5 seconds. */
const BATCHING_PAUSE_MS = 600;

/** Time between reads of the revision, in milliseconds. Source: together with the age that entries between the store and a follower add, it stays within `MAXIMUM_FEED_AGE_MS`. */
const REVISION_INTERVAL_MS = 400;

/** Time for the watch to reach a revision that was read beside it, in milliseconds: a slow store answers within it. */
const CATCH_UP_MS = 400;

/** Consecutive failed watches after which the store counts as lost: a single waiting watch may be cut at any time. */
const FAILED_WATCHES_UNTIL_LOST = 2;

/** Minimum and maximum delay between tries, in milliseconds. Source: together with the connect time and the grace period for vanished records they stay within three seconds, after which an entry that was cut off must be up to date. */
const MINIMUM_RETRY_DELAY_MS = 150;
const MAXIMUM_RETRY_DELAY_MS = 250;

/** Time after an outage in which vanished records may be written again, in milliseconds. Source: the platform's guarantee of two seconds, and one second to detect the outage. */
const GRACE_PERIOD_MS = 3_000;

/** Follows the store and notifies a listener. */
export class StoreWatcher {
  readonly #options: StoreWatcherOptions;
  readonly #backoff: Backoff;
  #revision: number | undefined;
  #isStopped = false;
  #hasRead = false;
  #isLost = false;
  #failedWatches = 0;
  #lastFailureAtMs = -Infinity;
  #lastAnswerAtMs = -Infinity;
  #watchAbort = new AbortController();

  constructor(options: StoreWatcherOptions) {
    this.#options = options;
    this.#backoff = new Backoff({
      minimumMs: MINIMUM_RETRY_DELAY_MS,
      maximumMs: MAXIMUM_RETRY_DELAY_MS,
    });
  }

  /** Time since the store last answered, in milliseconds. */
  get ageMs(): number {
    return this.#options.clock.now() - this.#lastAnswerAtMs;
  }

  /** Whether the store has failed and not answered since. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** Follows the store until `stop`. */
  start(): void {
    void this.#follow();
    void this.#checkRevisions();
  }

  stop(): void {
    this.#isStopped = true;
    this.#watchAbort.abort();
  }

  async #follow(): Promise<void> {
    while (!this.#isStopped) {
      const pauseMs = await this.#readOrWatch();
      if (pauseMs > 0) {
        await sleep(pauseMs);
      }
    }
  }

  /** Reads or watches once; returns the pause until the next call, in milliseconds. */
  async #readOrWatch(): Promise<number> {
    const {store} = this.#options;
    const revision = this.#revision;
    if (revision === undefined) {
      // Stale records suffice at first: the watch returns later changes.
      const read = await store.readAll(!this.#hasRead);
      return this.#handleResult(read, changes =>
        this.#applyCompleteRead(changes),
      );
    }
    const abort = new AbortController();
    this.#watchAbort = abort;
    const watched = await store.watch(revision, WATCH_WAIT_MS, abort.signal);
    if (abort.signal.aborted) {
      // The watch restarts at once; the code that aborted it has handled the cause.
      return 0;
    }
    return this.#handleResult(watched, changes => this.#applyChanges(changes));
  }

  #handleResult(
    result: Result<RecordChanges, RecordStoreError>,
    apply: (changes: RecordChanges) => void,
  ): number {
    if (this.#isStopped) {
      return 0;
    }
    if (result.isErr()) {
      return this.#onReadError(result.error);
    }
    this.#onAnswer();
    this.#failedWatches = 0;
    this.#hasRead = true;
    this.#backoff.reset();
    apply(result.value);
    this.#revision = Math.max(this.#revision ?? 0, result.value.revision);
    const shouldPause =
      this.#options.store.isWatchBilled && result.value.changes.length > 0;
    return shouldPause ? BATCHING_PAUSE_MS : 0;
  }

  #applyCompleteRead(read: RecordChanges): void {
    const {changes} = read;
    this.#options.listener.onRead(read, true);
    const mayReappear = this.#mayReappear();
    const keys = new Set(changes.map(({key}) => key));
    for (const change of changes) {
      this.#options.listener.onChange(change, mayReappear);
    }
    this.#options.listener.onCompleteRead(keys, mayReappear);
  }

  #applyChanges(read: RecordChanges): void {
    const changes = withoutReplaced(read.changes);
    this.#options.listener.onRead({...read, changes}, false);
    const mayReappear = this.#mayReappear();
    for (const change of changes) {
      this.#options.listener.onChange(change, mayReappear);
    }
  }

  #onReadError(error: RecordStoreError): number {
    if (error.kind === 'history-lost') {
      // Changes were missed: all records are read again.
      this.#revision = undefined;
      return 0;
    }
    this.#failedWatches += 1;
    if (this.#failedWatches >= FAILED_WATCHES_UNTIL_LOST) {
      this.#onStoreFailure(error);
    }
    return this.#backoff.nextDelayMs();
  }

  /** Reads the revision periodically and restarts a watch that is behind it. */
  async #checkRevisions(): Promise<void> {
    while (!this.#isStopped) {
      await sleep(REVISION_INTERVAL_MS);
      const knownRevision = this.#revision;
      const {isWatchBilled} = this.#options.store;
      if (knownRevision === undefined || this.#isStopped || !isWatchBilled) {
        continue;
      }
      const read = await this.#options.store.readRevision(true);
      if (read.isErr()) {
        this.#onStoreFailure(read.error);
        this.#watchAbort.abort();
        continue;
      }
      this.#onAnswer();
      await this.#waitForRevision(read.value);
    }
  }

  async #waitForRevision(revision: number): Promise<void> {
    if ((this.#revision ?? revision) >= revision) {
      return;
    }
    await sleep(CATCH_UP_MS);
    if (this.#revision !== undefined && this.#revision < revision) {
      this.#watchAbort.abort();
    }
  }

  #mayReappear(): boolean {
    return this.#options.clock.now() - this.#lastFailureAtMs < GRACE_PERIOD_MS;
  }

  #onStoreFailure(error: RecordStoreError): void {
    this.#lastFailureAtMs = this.#options.clock.now();
    if (!this.#isLost) {
      this.#isLost = true;
      this.#options.listener.onLost(error);
    }
  }

  #onAnswer(): void {
    this.#lastAnswerAtMs = this.#options.clock.now();
    if (this.#isLost) {
      this.#isLost = false;
      // A watch that was started in the outage may never be answered.
      this.#watchAbort.abort();
      this.#options.listener.onRegained();
    }
  }
}
