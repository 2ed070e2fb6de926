/** Records by which entries tell each other, through the store, of requests that may crash upstreams. */

import type {SuspectRecord} from '@wasabidyke/policy';
import * as z from 'zod/mini';

/** Key prefix of the records. The rest of a key is the fingerprint, a slash, and the name of the reporting entry. */
export const SUSPECT_KEY_PREFIX = 'suspects/';

/** Schema of a record's value. */
const suspectValueSchema = z.object({upstreams: z.array(z.string())});

/** Maximum number of records in one message between entries. */
const MAXIMUM_RECORDS = 64;

/** Schema of the records in a message between entries. */
export const suspectRecordsSchema = z
  .array(
    z.object({
      fingerprint: z.string(),
      reporter: z.string(),
      upstreams: z.array(z.string()),
    }),
  )
  .check(z.maxLength(MAXIMUM_RECORDS));

/** Returns the key of a record. */
export function toSuspectKey(fingerprint: string, reporter: string): string {
  return `${SUSPECT_KEY_PREFIX}${fingerprint}/${reporter}`;
}

/** Serializes the value of a record. */
export function serializeSuspect({upstreams}: SuspectRecord): Buffer {
  return Buffer.from(JSON.stringify({upstreams}));
}

/** Parses a key; undefined if it is malformed. */
export function parseSuspectKey(
  key: string,
): Pick<SuspectRecord, 'fingerprint' | 'reporter'> | undefined {
  const parts = key.slice(SUSPECT_KEY_PREFIX.length).split('/');
  const [fingerprint, reporter] = parts;
  const isReadable = parts.length === 2 && !parts.includes('');
  return isReadable ? {fingerprint, reporter} : undefined;
}

/** Parses a record; undefined if the key or the value is malformed. */
export function parseSuspect(
  key: string,
  value: Buffer,
): SuspectRecord | undefined {
  const identity = parseSuspectKey(key);
  const parsed = suspectValueSchema.safeParse(parseJson(value));
  return identity !== undefined && parsed.success
    ? {...identity, upstreams: parsed.data.upstreams}
    : undefined;
}

function parseJson(value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8'));
  } catch {
    // The schema rejects undefined.
    return undefined;
  }
}
