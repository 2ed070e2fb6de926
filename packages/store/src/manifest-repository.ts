/**
 * Puts manifests into the store. Acceptance is one compare-and-swap: every
 * check is a function of the manifest and its predecessor and is made before
 * it, so that no entry has a vote.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {
  createManifestRecord,
  parseManifestRecord,
  type ManifestRecord,
} from '@wasabidyke/manifest';
import {Backoff, Err, Ok, type Clock, type Result} from '@wasabidyke/shared';
import {
  checkSubmission,
  judgeSubmission,
  toNewer,
  type ManifestSubmission,
  type SubmissionOutcome,
} from './manifest-submission.js';
import type {Store, StoreError, StoreValue} from './store.js';

/** Key of the manifest, below the store's prefix. */
export const MANIFEST_KEY = 'manifest';

/** A version that no key ever has. */
const IMPOSSIBLE_VERSION = Number.MAX_SAFE_INTEGER;

const MINIMUM_RETRY_MS = 50;
const MAXIMUM_RETRY_MS = 1_000;

/** What the repository needs. */
export interface ManifestRepositoryOptions {
  readonly store: Store;
  readonly clock: Clock;
  /** How long a submission tries to learn its outcome, in milliseconds. */
  readonly settleTimeoutMs: number;
  /** The newest record known from elsewhere; a store that was restored to an older one is not followed. */
  readonly newestKnown?: () => ManifestRecord | undefined;
}

/** What stands in the store, read. */
interface Present {
  readonly record: ManifestRecord | undefined;
  readonly version: number;
}

/** How far a submission has come. */
interface Progress {
  /** Whether a write that may have taken effect was sent. */
  wasSent: boolean;
  /** What the last declined swap showed; it is fresher than any read. */
  shown: Present | undefined;
  error: StoreError;
}

/** The manifest in the store. */
export class ManifestRepository {
  readonly #options: ManifestRepositoryOptions;

  constructor(options: ManifestRepositoryOptions) {
    this.#options = options;
  }

  /** The record in the store; undefined where there is none. */
  async read(): Promise<Result<ManifestRecord | undefined, StoreError>> {
    return (await this.#readPresent()).map(({record}) => record);
  }

  /**
   * Submits a manifest. Safe to run again with the same submission identity:
   * whatever became of an earlier run is found out and told.
   */
  async submit(submission: ManifestSubmission): Promise<SubmissionOutcome> {
    const checked = checkSubmission(submission);
    if (checked.isErr()) {
      return {outcome: 'rejected', findings: checked.error};
    }
    const {clock, settleTimeoutMs} = this.#options;
    const endMs = clock.now() + settleTimeoutMs;
    const backoff = createBackoff();
    const progress = createProgress();
    for (;;) {
      const outcome = await this.#attempt(submission, progress);
      if (outcome !== undefined) {
        return outcome;
      }
      const delayMs = backoff.nextDelayMs();
      if (clock.now() + delayMs >= endMs) {
        return toUnknown(progress);
      }
      await sleep(delayMs);
    }
  }

  /**
   * Puts a newer record back over an older one, where the store was restored.
   * Returns whether it was written; false when the store holds one as new.
   */
  async restore(record: ManifestRecord): Promise<Result<boolean, StoreError>> {
    const present = await this.#readPresent();
    if (present.isErr()) {
      return present;
    }
    if ((present.value.record?.revision ?? 0) >= record.revision) {
      return Ok(false);
    }
    const swap = await this.#swap(record, present.value.version);
    return swap.map(({isSwapped}) => isSwapped);
  }

  /** One attempt. Returns undefined when it must be tried again. */
  async #attempt(
    submission: ManifestSubmission,
    progress: Progress,
  ): Promise<SubmissionOutcome | undefined> {
    const {shown, wasSent} = progress;
    const present = shown ?? (await this.#take(progress));
    progress.shown = undefined;
    if (present === undefined) {
      return undefined;
    }
    const base = toNewer(present.record, this.#options.newestKnown?.());
    const state = {wasSent, isFresh: shown !== undefined};
    const judgement = judgeSubmission(submission, base, state);
    if (judgement.kind === 'outcome') {
      return judgement.outcome;
    }
    if (judgement.kind === 'retry') {
      return undefined;
    }
    if (judgement.kind === 'confirm') {
      return this.#confirm(progress);
    }
    const revision = submission.basedOn + 1;
    const {submission: identity, body} = submission;
    const record = createManifestRecord(revision, identity, body, base);
    return this.#put(record, present.version, progress);
  }

  async #put(
    record: ManifestRecord,
    expectedVersion: number,
    progress: Progress,
  ): Promise<SubmissionOutcome | undefined> {
    const swap = await this.#swap(record, expectedVersion);
    if (swap.isErr()) {
      progress.error = swap.error;
      progress.wasSent ||= mayHaveTakenEffect(swap.error);
      return undefined;
    }
    if (swap.value.isSwapped) {
      return {outcome: 'accepted', revision: record.revision};
    }
    const shown = toPresent(swap.value.present);
    progress.shown = shown.isOk() ? shown.value : undefined;
    return undefined;
  }

  /** Learns what stands from a swap that cannot succeed: unlike a reading, it is never stale. */
  async #confirm(progress: Progress): Promise<undefined> {
    const swap = await this.#options.store.compareAndSwap({
      key: MANIFEST_KEY,
      expectedVersion: IMPOSSIBLE_VERSION,
      value: '',
    });
    if (swap.isErr()) {
      progress.error = swap.error;
      return;
    }
    const shown = toPresent(swap.value.present);
    progress.shown = shown.isOk() ? shown.value : undefined;
  }

  async #take(progress: Progress): Promise<Present | undefined> {
    const present = await this.#readPresent();
    if (present.isErr()) {
      progress.error = present.error;
      return undefined;
    }
    return present.value;
  }

  async #readPresent(): Promise<Result<Present, StoreError>> {
    const read = await this.#options.store.read(MANIFEST_KEY);
    return read.andThen(toPresent);
  }

  #swap(record: ManifestRecord, expectedVersion: number) {
    const value = JSON.stringify(record);
    const key = MANIFEST_KEY;
    return this.#options.store.compareAndSwap({key, expectedVersion, value});
  }
}

function toPresent(value: StoreValue | undefined): Result<Present, StoreError> {
  if (value === undefined) {
    return Ok({record: undefined, version: 0});
  }
  const record = parseManifestRecord(value.value);
  if (record === undefined) {
    const message = 'the value in the store is no manifest record';
    return Err({kind: 'malformed', message});
  }
  return Ok({record, version: value.version});
}

function mayHaveTakenEffect({kind}: StoreError): boolean {
  return kind === 'unknown-outcome' || kind === 'malformed';
}

function createBackoff(): Backoff {
  return new Backoff({
    minimumMs: MINIMUM_RETRY_MS,
    maximumMs: MAXIMUM_RETRY_MS,
  });
}

function createProgress(): Progress {
  const error = {kind: 'unknown-outcome', message: 'not settled'} as const;
  return {wasSent: false, shown: undefined, error};
}

function toUnknown({wasSent, error}: Progress): SubmissionOutcome {
  const what = wasSent
    ? 'The manifest may or may not have been accepted'
    : 'The store gave no answer, so nothing was written by this run';
  const message = `${what}; run it again with the same submission identity. The store: ${error.message} (${error.kind}).`;
  return {outcome: 'unknown', wasSent, message};
}
