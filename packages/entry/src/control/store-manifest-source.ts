/** Reads and submits the manifest in the platform's store. */

import type {ManifestRecord} from '@wasabidyke/manifest';
import type {ManifestSubmission, SubmissionAnswer} from '@wasabidyke/operator';
import {ManifestRepository, ManifestWatch, type Store} from '@wasabidyke/store';
import {
  SECOND_MS,
  type Clock,
  type MetricRegistry,
  type Reporter,
} from '@wasabidyke/shared';
import type {ManifestKeeper} from './manifest-keeper.js';
import {ManifestSource} from './manifest-source.js';

/** Options of `StoreManifestSource`. */
export interface StoreManifestSourceOptions {
  readonly store: Store;
  readonly keeper: ManifestKeeper;
  /** Whether this entry watches the store on behalf of its region; it notifies the other entries. */
  readonly isWatcher: () => boolean;
  readonly clock: Clock;
  readonly metrics: MetricRegistry;
  readonly reporter: Reporter;
}

/** How long the outcome of a submission is looked for, in milliseconds. */
const SETTLE_TIMEOUT_MS = 8_000;

/** Time between reads while a watch is open, in milliseconds. A watch may end unnoticed, and a new manifest must be in force within seconds. */
const POLL_MS = 3 * SECOND_MS;

/** Time between reads of an entry that doesn't watch, in seconds, in case no other entry notifies it. */
const NON_WATCHER_READ_SECONDS = 30;

const MINIMUM_BACK_OFF_MS = 250;
const MAXIMUM_BACK_OFF_MS = 4 * SECOND_MS;

/** Offers the store's manifest to the keeper. */
export class StoreManifestSource extends ManifestSource {
  readonly #options: StoreManifestSourceOptions;
  readonly #repository: ManifestRepository;
  #watch: ManifestWatch | undefined;
  #elapsedSeconds = 0;

  constructor(options: StoreManifestSourceOptions) {
    super();
    this.#options = options;
    this.#repository = new ManifestRepository({
      store: options.store,
      clock: options.clock,
      settleTimeoutMs: SETTLE_TIMEOUT_MS,
      newestKnown: () => options.keeper.record,
    });
  }

  override start(): void {
    this.#startWatch();
  }

  override onTick(): void {
    this.#elapsedSeconds += 1;
    const isWatchNeeded =
      this.#options.isWatcher() || this.#options.keeper.revision === 0;
    if (isWatchNeeded && this.#watch === undefined) {
      this.#startWatch();
    } else if (!isWatchNeeded) {
      this.#endWatch();
      if (this.#elapsedSeconds % NON_WATCHER_READ_SECONDS === 0) {
        void this.#read();
      }
    }
  }

  override async submit(
    submission: ManifestSubmission,
  ): Promise<SubmissionAnswer> {
    const outcome = await this.#repository.submit(submission);
    const isAccepted =
      outcome.outcome === 'accepted' || outcome.outcome === 'already-accepted';
    if (isAccepted) {
      await this.#read();
    }
    return outcome;
  }

  override async stop(): Promise<void> {
    this.#endWatch();
    await this.#options.store.close();
  }

  #startWatch(): void {
    const {store, keeper, metrics, reporter} = this.#options;
    this.#watch = new ManifestWatch({
      store,
      listener: {
        onRecord: record => void keeper.offer(record, 'the store'),
        onOlder: newest => void this.#restore(newest),
      },
      newestKnown: () => keeper.record,
      pollMs: POLL_MS,
      backoff: {
        minimumMs: MINIMUM_BACK_OFF_MS,
        maximumMs: MAXIMUM_BACK_OFF_MS,
      },
      metrics,
      reporter,
    });
    this.#watch.start();
  }

  #endWatch(): void {
    this.#watch?.close();
    this.#watch = undefined;
  }

  async #read(): Promise<void> {
    const read = await this.#repository.read();
    if (read.isOk() && read.value !== undefined) {
      this.#options.keeper.offer(read.value, 'the store');
    }
  }

  /** Writes an accepted manifest back to a store that lost it, so that entries that start later find it. */
  async #restore(newest: ManifestRecord): Promise<void> {
    const restored = await this.#repository.restore(newest);
    if (restored.isOk() && restored.value) {
      this.#options.reporter.report({
        level: 'warn',
        code: 'manifest.restored',
        subject: `revision ${newest.revision}`,
        message: 'The store had lost this manifest; it was written back.',
      });
    }
  }
}
