/** Submitters of manifests, as the steps of a scenario share them. */

import {
  ManifestRepository,
  type ManifestWatch,
  type SubmissionOutcome,
} from '@wasabidyke/store';
import {SystemClock} from '@wasabidyke/shared';
import type {ManifestRecord} from '@wasabidyke/manifest';
import type {RecordingReporter, StoreContext} from './store-context.js';

const SETTLE_TIMEOUT_MS = 10_000;

/** What the steps about manifests share. */
export interface ManifestContext extends StoreContext {
  settleTimeoutMs?: number;
  outcome: SubmissionOutcome;
  watch?: ManifestWatch;
  reporter: RecordingReporter;
  handedOn: ManifestRecord[];
}

/** A repository on the scenario's store. */
export function createRepository(
  context: ManifestContext,
  newestKnown?: () => ManifestRecord | undefined,
): ManifestRepository {
  return new ManifestRepository({
    store: context.store,
    clock: new SystemClock(),
    settleTimeoutMs: context.settleTimeoutMs ?? SETTLE_TIMEOUT_MS,
    newestKnown,
  });
}
