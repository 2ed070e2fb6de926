/**
 * Follows the store: reads all records once, then watches for changes. A pause
 * follows each change, so that changes in quick succession cost one call. Each
 * watch waits for a short time only: its answer proves that no change is
 * missing, and its absence that the connection has fallen silent.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {Backoff, Err, type Clock, type Result} from '@wasabidyke/shared';
import {isBefore, type StorePosition} from './store-eras.js';
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
  /** Called when the store has begun another era: the complete read of it follows. */
  onEra(change: EraChange): void;
  onLost(error: RecordStoreError): void;
  onRegained(): void;
}

/** The store has come back from an older copy. */
export interface EraChange {
  readonly era: number;
  readonly formerEra: number;
  /** Revision that was known in the former era. */
  readonly formerRevision: number;
}

/** Constructor options. */
export interface StoreWatcherOptions {
  readonly store: RecordStore;
  readonly listener: StoreWatcherListener;
  readonly clock: Clock;
}

/** Pause after a change, in milliseconds. Source: together with the time to detect an unresponsive feeder, and a read, it stays within half of the shortest bound on draining, 2.5 seconds. */
const BATCHING_PAUSE_MS = 600;

/** Consecutive failed watches after which the store counts as lost: a single waiting watch may be cut at any time. */
const FAILED_WATCHES_UNTIL_LOST = 2;

/** Minimum and maximum delay between tries, in milliseconds. Source: together with the connect time and the grace period for vanished records they stay within three seconds, after which an entry that was cut off must be up to date. */
const MINIMUM_RETRY_DELAY_MS = 150;
const MAXIMUM_RETRY_DELAY_MS = 250;

/** Minimum and maximum delay between complete reads that a store without history asks for again and again, in milliseconds. */
const MINIMUM_REREAD_DELAY_MS = 200;
const MAXIMUM_REREAD_DELAY_MS = 5_000;

/** Time after an outage in which vanished records may be written again, in milliseconds. Source: the platform's guarantee of two seconds, and one second to detect the outage. */
const GRACE_PERIOD_MS = 3_000;

/** Follows the store and notifies a listener. */
export class StoreWatcher {
  readonly #options: StoreWatcherOptions;
  readonly #backoff: Backoff;
  /** Delays of complete reads that follow each other with no change in between. */
  readonly #rereads: Backoff;
  #hasJustRead = false;
  /** Position up to which all records were read; undefined when all must be read again. */
  #position: StorePosition | undefined;
  /** Position of the last read, whether or not it still holds. */
  #lastPosition: StorePosition | undefined;
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
    this.#rereads = new Backoff({
      minimumMs: MINIMUM_REREAD_DELAY_MS,
      maximumMs: MAXIMUM_REREAD_DELAY_MS,
    });
    options.store.eras.onChange(era => this.#onEra(era));
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
    const position = this.#position;
    if (position === undefined) {
      // Stale records suffice at first: the watch returns later changes.
      const read = await store.readAll(!this.#hasRead);
      return this.#handleResult(read, changes =>
        this.#applyCompleteRead(changes),
      );
    }
    const abort = new AbortController();
    this.#watchAbort = abort;
    const waitMs = this.#nextWaitMs();
    const watched = await store.watch(position, waitMs, abort.signal);
    if (abort.signal.aborted) {
      // The watch restarts at once; the code that aborted it has handled the cause.
      return 0;
    }
    if (watched.isOk() && isBefore(watched.value, position)) {
      return this.#handleResult(
        toHistoryLost(watched.value, position),
        () => {},
      );
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
    this.#backoff.reset();
    const {era, revision} = result.value;
    if (era !== this.#options.store.eras.current) {
      // It was on its way when another era began, of which all is read.
      return 0;
    }
    this.#hasRead = true;
    apply(result.value);
    this.#position = {era, revision};
    this.#lastPosition = this.#position;
    const shouldPause =
      this.#options.store.isWatchBilled && result.value.changes.length > 0;
    return shouldPause ? BATCHING_PAUSE_MS : 0;
  }

  #applyCompleteRead(read: RecordChanges): void {
    const {changes} = read;
    this.#hasJustRead = true;
    this.#options.listener.onRead(read, true);
    const mayReappear = this.#mayReappear();
    const keys = new Set(changes.map(({key}) => key));
    for (const change of changes) {
      this.#options.listener.onChange(change, mayReappear);
    }
    this.#options.listener.onCompleteRead(keys, mayReappear);
  }

  #applyChanges(read: RecordChanges): void {
    this.#hasJustRead = false;
    this.#rereads.reset();
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
      this.#position = undefined;
      return this.#hasJustRead ? this.#rereads.nextDelayMs() : 0;
    }
    this.#failedWatches += 1;
    if (this.#failedWatches >= FAILED_WATCHES_UNTIL_LOST) {
      this.#onStoreFailure(error);
    }
    return this.#backoff.nextDelayMs();
  }

  /** What was read of an earlier era says nothing of this one. */
  #onEra(era: number): void {
    this.#position = undefined;
    this.#watchAbort.abort();
    if (this.#lastPosition !== undefined) {
      this.#lastFailureAtMs = this.#options.clock.now();
      const {era: formerEra, revision: formerRevision} = this.#lastPosition;
      this.#options.listener.onEra({era, formerEra, formerRevision});
    }
  }

  /** How long the next watch may wait, in milliseconds; it doesn't after a failure. */
  #nextWaitMs(): number {
    const remainingMs = this.#options.store.confirmationMs - this.ageMs;
    return Math.round(Math.max(0, remainingMs));
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
      this.#options.listener.onRegained();
    }
  }
}

/** A revision that went back without a new era shows another history as well. */
function toHistoryLost(
  {revision}: StorePosition,
  known: StorePosition,
): Result<never, RecordStoreError> {
  const message = `revision ${revision} after ${known.revision}`;
  return Err({kind: 'history-lost', message});
}
