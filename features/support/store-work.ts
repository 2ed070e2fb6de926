/** Work of writers and operators on the store, and what they were told. */

import {setTimeout as sleep} from 'node:timers/promises';
import {
  ManifestRepository,
  type Store,
  type StoreError,
  type SubmissionOutcome,
  type SwapAnswer,
} from '@wasabidyke/store';
import {SystemClock, type Result} from '@wasabidyke/shared';
import {createSampleManifest} from './sample-manifest.js';

const SETTLE_TIMEOUT_MS = 500;
const WRITE_PAUSE_MS = 10;
const SUBMISSION_PAUSE_MS = 50;

/** What a writer was told of one write. */
export interface ToldWrite {
  readonly value: string;
  readonly swap: Result<SwapAnswer, StoreError>;
}

/** What an operator was told of one run of a submission. */
export interface ToldSubmission {
  readonly submission: string;
  readonly outcome: SubmissionOutcome;
}

/** Writes `count` values to a key, each where the last version that was read still stands. */
export async function writeMany(
  store: Store,
  key: string,
  count: number,
): Promise<readonly ToldWrite[]> {
  const told: ToldWrite[] = [];
  let expectedVersion = 0;
  for (let index = 0; index < count; index++) {
    const value = `${key}-${index}`;
    const swap = await store.compareAndSwap({key, expectedVersion, value});
    told.push({value, swap});
    const read = await store.read(key);
    await sleep(WRITE_PAUSE_MS);
    expectedVersion = read.isOk()
      ? (read.value?.version ?? 0)
      : expectedVersion;
  }
  return told;
}

/** Submits `count` manifests, each run again until its outcome is known. */
export async function submitMany(
  store: Store,
  operator: string,
  count: number,
): Promise<readonly ToldSubmission[]> {
  const repository = new ManifestRepository({
    store,
    clock: new SystemClock(),
    settleTimeoutMs: SETTLE_TIMEOUT_MS,
  });
  const told: ToldSubmission[] = [];
  let basedOn = 0;
  for (let index = 0; index < count; index++) {
    const submission = `${operator}-${index}`;
    const body = createSampleManifest(submission);
    let outcome: SubmissionOutcome;
    do {
      outcome = await repository.submit({body, basedOn, submission});
      told.push({submission, outcome});
    } while (outcome.outcome === 'unknown');
    basedOn = toNextBase(outcome, basedOn);
    await sleep(SUBMISSION_PAUSE_MS);
  }
  return told;
}

function toNextBase(outcome: SubmissionOutcome, basedOn: number): number {
  if ('presentRevision' in outcome) {
    return outcome.presentRevision;
  }
  return 'revision' in outcome ? outcome.revision : basedOn;
}
