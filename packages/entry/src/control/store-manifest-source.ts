/** The manifest in the platform's store. */

import {
  createManifestRecord,
  parseManifest,
  parseManifestRecord,
} from '@wasabidyke/manifest';
import type {ManifestSubmission, SubmissionAnswer} from '@wasabidyke/operator';
import type {Store, StoreValue, Watch} from '@wasabidyke/platform';
import type {ManifestKeeper} from './manifest-keeper.js';
import {ManifestSource} from './manifest-source.js';

const MANIFEST_KEY = 'manifest';
const RETRY_MS = 500;

/** Brings the manifest from the store. */
export class StoreManifestSource extends ManifestSource {
  readonly #store: Store;
  readonly #keeper: ManifestKeeper;
  #watch: Watch | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(store: Store, keeper: ManifestKeeper) {
    super();
    this.#store = store;
    this.#keeper = keeper;
  }

  override start(): void {
    this.#watch = this.#store.watch(MANIFEST_KEY, {
      onStart: () => void this.#read(),
      onValue: value => void this.#offer(value),
      onEnd: () => this.#scheduleStart(),
    });
    void this.#read();
  }

  override async submit(
    submission: ManifestSubmission,
  ): Promise<SubmissionAnswer> {
    const parsed = parseManifest('manifest', submission.body);
    if (parsed.isErr()) {
      return {outcome: 'rejected', findings: [...parsed.error]};
    }
    const present = await this.#store.read(MANIFEST_KEY);
    if (present.isErr()) {
      return {outcome: 'unknown', message: present.error.message};
    }
    const presentRevision = this.#offer(present.value);
    if (presentRevision !== submission.basedOn) {
      return {outcome: 'superseded', presentRevision};
    }
    const revision = presentRevision + 1;
    const record = createManifestRecord(
      revision,
      submission.submission,
      submission.body,
    );
    const swapped = await this.#store.compareAndSwap({
      key: MANIFEST_KEY,
      expectedVersion: present.value?.version ?? 0,
      value: JSON.stringify(record),
    });
    if (swapped.isErr()) {
      return {outcome: 'unknown', message: swapped.error.message};
    }
    if (!swapped.value.isSwapped) {
      return {outcome: 'superseded', presentRevision: revision};
    }
    this.#keeper.offer(record, 'an operator');
    return {outcome: 'accepted', revision};
  }

  override async stop(): Promise<void> {
    clearTimeout(this.#timer);
    this.#watch?.close();
    await this.#store.close();
  }

  async #read(): Promise<void> {
    const value = await this.#store.read(MANIFEST_KEY);
    if (value.isOk()) {
      this.#offer(value.value);
    } else {
      this.#scheduleStart();
    }
  }

  #scheduleStart(): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#watch?.close();
      this.start();
    }, RETRY_MS);
  }

  /** Returns the revision that stands in the store; 0 for none. */
  #offer(value: StoreValue | undefined): number {
    const record = value && parseManifestRecord(value.value);
    if (record === undefined) {
      return 0;
    }
    this.#keeper.offer(record, 'the store');
    return record.revision;
  }
}
