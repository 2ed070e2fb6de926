/** An operators' service with fixed answers. */

import {setTimeout as sleep} from 'node:timers/promises';
import {createManifestRecord} from '@wasabidyke/manifest';
import {
  OperatorService,
  type EntryRow,
  type EntryStatus,
  type LoadWatchStatus,
  type ManifestSubmission,
  type SubmissionAnswer,
  type UpstreamRow,
} from '@wasabidyke/operator';
import type {TimeLineEvent} from '@wasabidyke/shared';

const RATES = {
  requestsPerSecond: 10,
  bytesPerSecond: 1_000,
  crossRegionBytesPerSecond: 100,
};

/** Answers by the outcome that is wanted. */
export const SUBMISSION_ANSWERS: Readonly<Record<string, SubmissionAnswer>> = {
  accepted: {outcome: 'accepted', revision: 8},
  'already-accepted': {outcome: 'already-accepted', revision: 8},
  superseded: {outcome: 'superseded', presentRevision: 9},
  rejected: {
    outcome: 'rejected',
    findings: [
      {
        code: 'duplicate-zone',
        message: 'It stands twice.',
        place: {source: 'manifest', line: 3, column: 5, path: 'regions'},
      },
    ],
  },
  unknown: {outcome: 'unknown', message: 'The store gave no answer.'},
};

/** An operators' service with fixed answers. */
export class FixedOperatorService extends OperatorService {
  readonly submissions: ManifestSubmission[] = [];
  answer: SubmissionAnswer = SUBMISSION_ANSWERS.accepted;
  failure: Error | undefined;
  /** Time until a submission is answered, in milliseconds. */
  delayMs = 0;
  events: readonly TimeLineEvent[] = [];
  entries: readonly EntryRow[] = [createEntryRow('entry-1')];

  override readStatus(): EntryStatus {
    if (this.failure !== undefined) {
      throw this.failure;
    }
    return {
      entry: 'entry-1',
      incarnation: 'a1b2',
      state: 'serving',
      region: 'north',
      zone: 'north-a',
      vm: 'vm-1',
      revision: 7,
      startedAt: '2026-01-02T03:04:05.000Z',
      platform: 'embedded',
    };
  }

  override readManifest() {
    return createManifestRecord(7, 'first', '{}');
  }

  override async submitManifest(submission: ManifestSubmission) {
    this.submissions.push(submission);
    await sleep(this.delayMs);
    return this.answer;
  }

  override readManifestStatus() {
    const row = {entry: 'entry-1', region: 'north', zone: 'north-a'};
    return {latestRevision: 7, entries: [{...row, revision: 7, ageMs: 0}]};
  }

  override listEntries() {
    return this.entries;
  }

  override listUpstreams(): readonly UpstreamRow[] {
    return [
      {
        service: 'shop',
        name: 'shop-1',
        address: '127.0.0.1:9001',
        region: 'north',
        zone: 'north-a',
        state: 'live',
        inFlight: 2,
        latencyMs: 3.5,
        reportAgeMs: null,
        connections: 4,
      },
    ];
  }

  override readLoadWatch(): LoadWatchStatus {
    const spent = {requests: 12, bytes: 3_400, crossRegionBytes: 0};
    const use = {spent, spentOverMs: 60_000, withheld: 1};
    return {preference: 'tail-first', budget: RATES, share: RATES, ...use};
  }

  override listEvents() {
    return this.events;
  }

  override renderMetrics(): string {
    return '# HELP requests_total Requests.\n';
  }
}

/** A row of the list of entries. */
export function createEntryRow(
  entry: string,
  operatorAddress?: string,
): EntryRow {
  return {
    entry,
    incarnation: 'a1b2',
    state: 'serving',
    region: 'north',
    zone: 'north-a',
    address: '127.0.0.1:8080',
    operatorAddress,
    revision: 7,
    ageMs: 0,
  };
}
