/** Ledger records in the form in which one entry hands them over to another. */

import {create} from '@bufbuild/protobuf';
import {KIBIBYTE, MEBIBYTE} from '@wasabidyke/shared';
import {z} from 'zod';
import {
  LedgerRecordSchema,
  LedgerState,
  type LedgerRecord as WireLedgerRecord,
} from './gen/wasabidyke/peer/v1/peer_pb.js';
import {incarnationSchema} from './rows.js';

/** Maximum size of the body of a record, in bytes. */
export const MAXIMUM_RECORD_BODY_BYTES = MEBIBYTE;

/** Maximum number of records in one message. */
export const MAXIMUM_CHUNK_RECORDS = 256;

/** Approximate maximum size of the records in one message, in bytes; a single larger record is sent alone. */
export const MAXIMUM_CHUNK_BYTES = MEBIBYTE;

const MAXIMUM_KEY_LENGTH = 512;
const MAXIMUM_HEADERS = 128;
const MAXIMUM_HEADER_LENGTH = 16 * KIBIBYTE;
const MAXIMUM_LAPSE_MS = 0xffff_ffff;

/** Ledger record of the request with one idempotency key. */
export const ledgerRecordSchema = z.strictObject({
  key: z.string().min(1).max(MAXIMUM_KEY_LENGTH),
  fingerprint: z.string().max(MAXIMUM_KEY_LENGTH),
  /** Incarnation of the key's home: the entry that ran the request with this key. */
  home: incarnationSchema,
  /** `done`: the answer is known. `unknown`: the request may have been executed, and its answer is not known. */
  state: z.enum(['done', 'unknown']),
  /** HTTP status of the answer; 0 if there is none. */
  status: z.int().min(0).max(599),
  headers: z
    .array(
      z.strictObject({
        name: z.string().min(1).max(MAXIMUM_HEADER_LENGTH),
        value: z.string().max(MAXIMUM_HEADER_LENGTH),
      }),
    )
    .max(MAXIMUM_HEADERS),
  body: z.custom<Uint8Array>(
    body =>
      body instanceof Uint8Array &&
      body.byteLength <= MAXIMUM_RECORD_BODY_BYTES,
  ),
  /** Milliseconds from sending this record until the key expires. */
  lapsesInMs: z.int().min(0).max(MAXIMUM_LAPSE_MS),
});

/** Ledger record of the request with one idempotency key. */
export type LedgerRecord = z.infer<typeof ledgerRecordSchema>;

/** Converts a record to its wire message. */
export function toWireRecord(record: LedgerRecord): WireLedgerRecord {
  const isDone = record.state === 'done';
  const state = isDone ? LedgerState.DONE : LedgerState.UNKNOWN;
  const headers = record.headers.map(header => ({...header}));
  const body = Uint8Array.from(record.body);
  return create(LedgerRecordSchema, {...record, state, headers, body});
}

/** Converts and validates a received record; undefined if any part of it is invalid. */
export function fromWireRecord(
  wire: WireLedgerRecord,
): LedgerRecord | undefined {
  const {key, fingerprint, home, state, status, headers, body} = wire;
  const parsed = ledgerRecordSchema.safeParse({
    key,
    fingerprint,
    home,
    state: toStateName(state),
    status,
    headers: headers.map(({name, value}) => ({name, value})),
    body,
    lapsesInMs: wire.lapsesInMs,
  });
  return parsed.success ? parsed.data : undefined;
}

/** Splits records into chunks that each fit one message. */
export function toChunks(
  records: readonly LedgerRecord[],
): ReadonlyArray<readonly LedgerRecord[]> {
  const chunks: LedgerRecord[][] = [];
  let bytes = Infinity;
  for (const record of records) {
    const size = estimateBytes(record);
    const last = chunks.at(-1);
    if (
      last === undefined ||
      last.length >= MAXIMUM_CHUNK_RECORDS ||
      bytes + size > MAXIMUM_CHUNK_BYTES
    ) {
      chunks.push([record]);
      bytes = size;
      continue;
    }
    last.push(record);
    bytes += size;
  }
  return chunks;
}

function estimateBytes(record: LedgerRecord): number {
  const headers = record.headers.reduce(
    (sum, header) => sum + header.name.length + header.value.length,
    0,
  );
  const textLength = record.key.length + record.fingerprint.length;
  return record.body.byteLength + headers + textLength;
}

function toStateName(state: LedgerState): LedgerRecord['state'] | undefined {
  switch (state) {
    case LedgerState.DONE:
      return 'done';
    case LedgerState.UNKNOWN:
      return 'unknown';
    default:
      return undefined;
  }
}
