/** Records by which entries tell each other of requests that may crash upstreams. */

import type {SuspectRecord} from '@wasabidyke/policy';
import {parseJson, sequenceSchema} from '@wasabidyke/shared';
import * as z from 'zod/mini';

/** Key prefix of the records in the store. The rest of a key is the fingerprint, a slash, and the name of the reporting entry. */
export const SUSPECT_KEY_PREFIX = 'suspects/';

/** Maximum number of records in one message between entries. */
export const MAXIMUM_RECORDS = 64;

/** Maximum number of crashes in one record. */
const MAXIMUM_CRASHES = 64;

const crashSchema = z.object({
  upstream: z.string(),
  caller: z.optional(z.string()),
  span: z.optional(z.object({fromMs: z.number(), toMs: z.number()})),
});

const suspectRecordSchema = z.object({
  fingerprint: z.string(),
  reporter: z.string(),
  sequence: sequenceSchema,
  crashes: z.array(crashSchema).check(z.maxLength(MAXIMUM_CRASHES)),
  isAnswered: z.boolean(),
});

/** Schema of the records in a message between entries. */
export const suspectRecordsSchema = z
  .array(suspectRecordSchema)
  .check(z.maxLength(MAXIMUM_RECORDS));

/** Returns the key of a record. */
export function toSuspectKey({
  fingerprint,
  reporter,
}: Pick<SuspectRecord, 'fingerprint' | 'reporter'>): string {
  return `${SUSPECT_KEY_PREFIX}${fingerprint}/${reporter}`;
}

/** Serializes a record. */
export function serializeSuspect(record: SuspectRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** Parses a record; undefined if it is malformed or belongs under another key. */
export function parseSuspect(
  key: string,
  value: Buffer,
): SuspectRecord | undefined {
  const parsed = suspectRecordSchema.safeParse(
    parseJson(value.toString('utf8')),
  );
  const isReadable = parsed.success && toSuspectKey(parsed.data) === key;
  return isReadable ? parsed.data : undefined;
}

/** The fingerprint in a key; empty if the key is malformed. */
export function fingerprintIn(key: string): string {
  const [fingerprint] = key.slice(SUSPECT_KEY_PREFIX.length).split('/');
  return fingerprint;
}
