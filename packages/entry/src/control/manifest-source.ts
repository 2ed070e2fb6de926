/** Where the manifest comes from, and where operators' submissions go. */

import type {ManifestSubmission, SubmissionAnswer} from '@wasabidyke/operator';

/** Brings manifests to the keeper and takes submissions. */
export abstract class ManifestSource {
  /** Begins to look for manifests. */
  abstract start(): void;

  /** A second has passed. */
  abstract onPeriod(): void;

  /** Puts a submitted manifest in force, or tells why not. */
  abstract submit(submission: ManifestSubmission): Promise<SubmissionAnswer>;

  /** Ends all calls. */
  abstract stop(): Promise<void>;
}
