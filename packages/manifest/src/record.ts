/** The one value that the store holds for the manifest. */

import {createHash} from 'node:crypto';
import {z} from 'zod';

/** Largest body of a manifest in bytes: the store's values go up to a megabyte, escapes included. */
export const MAXIMUM_MANIFEST_BYTES = 700_000;

/** Submissions that a record remembers, its own excluded. */
export const MAXIMUM_EARLIER_SUBMISSIONS = 128;

const submissionSchema = z.string().min(1).max(128);

const digestSchema = z.string().regex(/^[0-9a-f]{64}$/);

const revisionSchema = z.int().min(1);

/** A submission that was accepted at some revision. */
export const acceptedSubmissionSchema = z.strictObject({
  revision: revisionSchema,
  submission: submissionSchema,
  digest: digestSchema,
});

/** A submission that was accepted at some revision. */
export type AcceptedSubmission = z.infer<typeof acceptedSubmissionSchema>;

/** An accepted manifest as it stands in the store and travels between entries. */
export const manifestRecordSchema = z.strictObject({
  /** Rises by one with each accepted manifest. */
  revision: revisionSchema,
  /** Identity of the submission, chosen by the submitter. */
  submission: submissionSchema,
  /** SHA-256 of the body, in hexadecimal. */
  digest: digestSchema,
  /** The manifest's text as submitted. */
  body: z.string().max(MAXIMUM_MANIFEST_BYTES),
  /** The newest submissions before this one, oldest first, so that a submitter whose answer was lost can learn of it later. */
  earlier: z
    .array(acceptedSubmissionSchema)
    .max(MAXIMUM_EARLIER_SUBMISSIONS)
    .default([]),
});

/** An accepted manifest as it stands in the store and travels between entries. */
export type ManifestRecord = z.infer<typeof manifestRecordSchema>;

/** The digest of a manifest's text. */
export function toDigest(body: string): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Creates the record of a submission that follows `predecessor`, where there is one. */
export function createManifestRecord(
  revision: number,
  submission: string,
  body: string,
  predecessor?: ManifestRecord,
): ManifestRecord {
  const known = predecessor === undefined ? [] : listSubmissions(predecessor);
  const earlier = known.slice(-MAXIMUM_EARLIER_SUBMISSIONS);
  return {revision, submission, digest: toDigest(body), body, earlier};
}

/** The submissions that a record knows of, oldest first, its own last. */
export function listSubmissions(
  record: ManifestRecord,
): readonly AcceptedSubmission[] {
  const {revision, submission, digest, earlier} = record;
  return [...earlier, {revision, submission, digest}];
}

/**
 * Reads a record from text, from whatever sender.
 * @returns undefined when it is malformed or its digest does not match.
 */
export function parseManifestRecord(text: string): ManifestRecord | undefined {
  let content: unknown;
  try {
    content = JSON.parse(text);
  } catch {
    return undefined;
  }
  const parsed = manifestRecordSchema.safeParse(content);
  if (!parsed.success || parsed.data.digest !== toDigest(parsed.data.body)) {
    return undefined;
  }
  return parsed.data;
}
