/** What an entry answers to its operators, apart from how it is carried. */

import type {ManifestRecord} from '@wasabidyke/manifest';
import type {TimeLineEvent} from '@wasabidyke/shared';
import type {
  EntryRow,
  EntryStatus,
  LoadWatchStatus,
  ManifestStatus,
  ManifestSubmission,
  SubmissionAnswer,
  UpstreamRow,
} from './messages.js';

/** The operators' interface of an entry. */
export abstract class OperatorService {
  /** The entry itself. */
  abstract readStatus(): EntryStatus;

  /** The record in force here; undefined before the first. */
  abstract readManifest(): ManifestRecord | undefined;

  /** Checks a manifest and puts it in force, or tells why not. */
  abstract submitManifest(
    submission: ManifestSubmission,
  ): Promise<SubmissionAnswer>;

  /** The revision in force at every entry that this one knows, itself included. */
  abstract readManifestStatus(): ManifestStatus;

  /** Every entry that this one knows, itself included. */
  abstract listEntries(): readonly EntryRow[];

  /** Every upstream of the manifest in force. */
  abstract listUpstreams(): readonly UpstreamRow[];

  /** The budget for watching load; undefined before the first manifest. */
  abstract readLoadWatch(): LoadWatchStatus | undefined;

  /** The newest events of this process, oldest first. */
  abstract listEvents(): readonly TimeLineEvent[];

  /** All metrics in the Prometheus text format. */
  abstract renderMetrics(): string;
}
