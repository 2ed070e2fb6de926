/** The source of manifests, which also takes the manifests that operators submit. */

import type {ManifestSubmission, SubmissionAnswer} from '@wasabidyke/operator';

/** Offers manifests to the keeper and handles submissions. */
export abstract class ManifestSource {
  /** Starts to look for manifests. */
  abstract start(): void;

  /** Called every second. */
  abstract onTick(): void;

  /** Stores a submitted manifest and puts it in force. Returns whether it was accepted, or why not. */
  abstract submit(submission: ManifestSubmission): Promise<SubmissionAnswer>;

  /** Stops looking for manifests and closes the source's connections. */
  abstract stop(): Promise<void>;
}
