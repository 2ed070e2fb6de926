/** The decisions about a submitted manifest, apart from the store. */

import {
  MAXIMUM_MANIFEST_BYTES,
  checkSuccession,
  createManifestRecord,
  listSubmissions,
  manifestRecordSchema,
  parseManifest,
  toDigest,
  type Manifest,
  type ManifestRecord,
} from '@wasabidyke/manifest';
import {
  DocumentSource,
  Err,
  FindingCollector,
  type Finding,
  type Result,
} from '@wasabidyke/shared';

/** Name of a submitted manifest in the places of findings. */
const SOURCE_NAME = 'manifest';

/** Largest value of the store, in bytes. */
const MAXIMUM_VALUE_BYTES = 1_000_000;

/** Room for the submissions that a record remembers, in bytes. */
const EARLIER_SUBMISSIONS_BYTES = 40_000;

/** A manifest that an operator submits. */
export interface ManifestSubmission {
  /** The manifest's text. */
  readonly body: string;
  /** Revision that it was written against; 0 where there is none. */
  readonly basedOn: number;
  /** Identity chosen by the submitter; the same one may be submitted again. */
  readonly submission: string;
}

/** What became of a submission. */
export type SubmissionOutcome =
  | {readonly outcome: 'accepted'; readonly revision: number}
  /** This submission was accepted by an earlier run. */
  | {readonly outcome: 'already-accepted'; readonly revision: number}
  /** Another revision stands; this submission was not and will not be accepted. */
  | {readonly outcome: 'superseded'; readonly presentRevision: number}
  /** The manifest is wrong; nothing was written. */
  | {readonly outcome: 'rejected'; readonly findings: readonly Finding[]}
  | {
      readonly outcome: 'unknown';
      /** Whether a write that may have taken effect was sent. */
      readonly wasSent: boolean;
      readonly message: string;
    };

/** What is to be done with a submission, given what the store holds. */
export type Judgement =
  | {readonly kind: 'swap'}
  | {readonly kind: 'retry'}
  /** What was read may be stale; a swap must show what stands. */
  | {readonly kind: 'confirm'}
  | {readonly kind: 'outcome'; readonly outcome: SubmissionOutcome};

/** Checks a submission by itself. */
export function checkSubmission(
  submission: ManifestSubmission,
): Result<Manifest, readonly Finding[]> {
  const parsed = parseManifest(SOURCE_NAME, submission.body);
  if (parsed.isErr()) {
    return parsed;
  }
  const {basedOn, submission: identity, body} = submission;
  const record = createManifestRecord(basedOn + 1, identity, body);
  const finding = checkSize(record) ?? checkReadable(record);
  return finding === undefined ? parsed : Err([finding]);
}

/** What a run of a submission knows besides the record. */
export interface SubmissionState {
  /** Whether this run has sent a write that may have taken effect. */
  readonly wasSent: boolean;
  /** Whether the record was shown by a swap, so that it cannot be stale. */
  readonly isFresh: boolean;
}

/**
 * Judges a checked submission against the newest accepted record. A
 * submission based on revision r can only ever become revision r + 1, so the
 * submission remembered there decides. A stale reading can show less than what
 * stands, so it may not refuse a base that it does not know.
 */
export function judgeSubmission(
  submission: ManifestSubmission,
  base: ManifestRecord | undefined,
  {wasSent, isFresh}: SubmissionState,
): Judgement {
  const accepted = base === undefined ? [] : listSubmissions(base);
  const known = accepted.find(
    ({submission: identity}) => identity === submission.submission,
  );
  if (known !== undefined) {
    return judgeKnown(submission, known, wasSent);
  }
  const presentRevision = base?.revision ?? 0;
  if (submission.basedOn > presentRevision && !isFresh) {
    return {kind: 'confirm'};
  }
  if (submission.basedOn > presentRevision) {
    return wasSent ? {kind: 'retry'} : refuseBase(submission, presentRevision);
  }
  if (submission.basedOn < presentRevision) {
    return judgeLate(
      submission,
      accepted[0].revision,
      presentRevision,
      wasSent,
    );
  }
  return judgeSuccession(submission, base);
}

/** The record with the higher revision. */
export function toNewer(
  left: ManifestRecord | undefined,
  right: ManifestRecord | undefined,
): ManifestRecord | undefined {
  return (left?.revision ?? 0) >= (right?.revision ?? 0) ? left : right;
}

function checkSize(record: ManifestRecord): Finding | undefined {
  const bytes = Buffer.byteLength(JSON.stringify(record));
  const limit = MAXIMUM_VALUE_BYTES - EARLIER_SUBMISSIONS_BYTES;
  if (bytes <= limit && record.body.length <= MAXIMUM_MANIFEST_BYTES) {
    return undefined;
  }
  const message = `The manifest takes ${record.body.length} characters and ${bytes} bytes in the store; ${MAXIMUM_MANIFEST_BYTES} and ${limit} are allowed.`;
  return toFinding('manifest-too-large', message);
}

/** A record that its readers would refuse must never be written. */
function checkReadable(record: ManifestRecord): Finding | undefined {
  const parsed = manifestRecordSchema.safeParse(record);
  if (parsed.success) {
    return undefined;
  }
  const [{path, message}] = parsed.error.issues;
  return toFinding('bad-submission', `"${path.join('.')}": ${message}`);
}

function judgeKnown(
  submission: ManifestSubmission,
  known: {readonly revision: number; readonly digest: string},
  wasSent: boolean,
): Judgement {
  const {revision, digest} = known;
  if (digest !== toDigest(submission.body)) {
    const message = `Submission "${submission.submission}" was accepted at revision ${revision} with another manifest; choose a new identity.`;
    return reject([toFinding('submission-reused', message)]);
  }
  const outcome = wasSent ? 'accepted' : 'already-accepted';
  return {kind: 'outcome', outcome: {outcome, revision}};
}

function judgeLate(
  submission: ManifestSubmission,
  oldestRemembered: number,
  presentRevision: number,
  wasSent: boolean,
): Judgement {
  if (submission.basedOn + 1 >= oldestRemembered) {
    return {kind: 'outcome', outcome: {outcome: 'superseded', presentRevision}};
  }
  const message = `Revision ${presentRevision} stands, and submissions before revision ${oldestRemembered} are no longer remembered; whether this one was accepted cannot be told.`;
  return {
    kind: 'outcome',
    outcome: {outcome: 'unknown', wasSent, message},
  };
}

function judgeSuccession(
  submission: ManifestSubmission,
  base: ManifestRecord | undefined,
): Judgement {
  const previous = base && parseManifest(SOURCE_NAME, base.body);
  const next = parseManifest(SOURCE_NAME, submission.body);
  if (previous === undefined || previous.isErr() || next.isErr()) {
    return {kind: 'swap'};
  }
  const source = new DocumentSource(SOURCE_NAME, submission.body);
  const findings = new FindingCollector();
  checkSuccession(previous.value, next.value, source, findings);
  return findings.hasAny() ? reject(findings.toSorted()) : {kind: 'swap'};
}

function refuseBase(
  {basedOn}: ManifestSubmission,
  presentRevision: number,
): Judgement {
  const message = `Revision ${basedOn}, which this is based on, is not known; revision ${presentRevision} stands.`;
  return reject([toFinding('unknown-base', message)]);
}

function reject(findings: readonly Finding[]): Judgement {
  return {kind: 'outcome', outcome: {outcome: 'rejected', findings}};
}

function toFinding(code: string, message: string): Finding {
  const place = {source: SOURCE_NAME, line: 1, column: 1, path: ''};
  return {code, message, place};
}
