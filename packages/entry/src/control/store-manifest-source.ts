/** The manifest in the platform's store. */

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

/** What the source needs. */
export interface StoreManifestSourceOptions {
  readonly store: Store;
  readonly keeper: ManifestKeeper;
  /** Whether this entry watches the store for its region; the others hear from it. */
  readonly isWatcher: () => boolean;
  readonly clock: Clock;
  readonly metrics: MetricRegistry;
  readonly reporter: Reporter;
}

/** How long a submission tries to learn its outcome, in milliseconds. */
const SETTLE_TIMEOUT_MS = 8_000;

/** Time between readings while a watch stands, in milliseconds: a watch may end unnoticed, and a manifest is to be in force in seconds. */
const POLL_MS = 3 * SECOND_MS;

/** An entry that doesn't watch reads once in this many seconds, should no other tell it. */
const SELDOM_SECONDS = 30;

const SHORTEST_BACK_OFF_MS = 250;
const LONGEST_BACK_OFF_MS = 4 * SECOND_MS;

/** Brings the manifest from the store. */
export class StoreManifestSource extends ManifestSource {
  readonly #options: StoreManifestSourceOptions;
  readonly #repository: ManifestRepository;
  #watch: ManifestWatch | undefined;
  #seconds = 0;

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

  override onPeriod(): void {
    this.#seconds += 1;
    const isNeeded =
      this.#options.isWatcher() || this.#options.keeper.revision === 0;
    if (isNeeded && this.#watch === undefined) {
      this.#startWatch();
    } else if (!isNeeded) {
      this.#endWatch();
      if (this.#seconds % SELDOM_SECONDS === 0) {
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
        minimumMs: SHORTEST_BACK_OFF_MS,
        maximumMs: LONGEST_BACK_OFF_MS,
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

  /** A store that lost an accepted manifest gets it back, so that entries that start later find it. */
  async #restore(newest: ManifestRecord): Promise<void> {
    const restored = await this.#repository.restore(newest);
    if (restored.isOk() && restored.value) {
      this.#options.reporter.report({
        level: 'warn',
        code: 'manifest.restored',
        subject: `revision ${newest.revision}`,
        message: 'The store had lost it and was given it back.',
      });
    }
  }
}
