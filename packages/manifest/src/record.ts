/** The one value that the store holds for the manifest. */

import {createHash} from 'node:crypto';
import {z} from 'zod';

/** Largest body of a manifest in bytes: the store's values go up to a megabyte, escapes included. */
export const MAXIMUM_MANIFEST_BYTES = 700_000;

/** An accepted manifest as it stands in the store and travels between entries. */
export const manifestRecordSchema = z.strictObject({
  /** Rises by one with each accepted manifest. */
  revision: z.int().min(1),
  /** Identity of the submission, chosen by the submitter. */
  submission: z.string().min(1).max(128),
  /** SHA-256 of the body, in hexadecimal. */
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  /** The manifest's text as submitted. */
  body: z.string().max(MAXIMUM_MANIFEST_BYTES),
});

/** An accepted manifest as it stands in the store and travels between entries. */
export type ManifestRecord = z.infer<typeof manifestRecordSchema>;

/** The digest of a manifest's text. */
export function toDigest(body: string): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Creates the record of a submission. */
export function createManifestRecord(
  revision: number,
  submission: string,
  body: string,
): ManifestRecord {
  return {revision, submission, digest: toDigest(body), body};
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
