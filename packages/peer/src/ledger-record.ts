/** Ledger records as one entry hands them to another. */

import {create} from '@bufbuild/protobuf';
import {KIBIBYTE, MEBIBYTE} from '@wasabidyke/shared';
import {z} from 'zod';
import {
  LedgerRecordSchema,
  LedgerState,
  type LedgerRecord as WireLedgerRecord,
} from './gen/wasabidyke/peer/v1/peer_pb.js';
import {incarnationSchema} from './rows.js';

/** Largest body of one record, in bytes. */
export const MAXIMUM_RECORD_BODY_BYTES = MEBIBYTE;

/** Most records of one message. */
export const MAXIMUM_CHUNK_RECORDS = 256;

/** Records are put into one message up to about this size. */
export const MAXIMUM_CHUNK_BYTES = MEBIBYTE;

const MAXIMUM_KEY_LENGTH = 512;
const MAXIMUM_HEADERS = 128;
const MAXIMUM_HEADER_LENGTH = 16 * KIBIBYTE;
const MAXIMUM_LAPSE_MS = 0xffff_ffff;

/** What a ledger knows about one key. */
export const ledgerRecordSchema = z.strictObject({
  key: z.string().min(1).max(MAXIMUM_KEY_LENGTH),
  fingerprint: z.string().max(MAXIMUM_KEY_LENGTH),
  /** Incarnation of the home that ran the key. */
  home: incarnationSchema,
  /** Whether its answer is known, or it may have run without a known answer. */
  state: z.enum(['done', 'unknown']),
  /** HTTP status of the answer; 0 without one. */
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
  /** Milliseconds until the key lapses, from the moment of sending. */
  lapsesInMs: z.int().min(0).max(MAXIMUM_LAPSE_MS),
});

/** What a ledger knows about one key. */
export type LedgerRecord = z.infer<typeof ledgerRecordSchema>;

/** A record as it is sent. */
export function toWireRecord(record: LedgerRecord): WireLedgerRecord {
  const isDone = record.state === 'done';
  const state = isDone ? LedgerState.DONE : LedgerState.UNKNOWN;
  const headers = record.headers.map(header => ({...header}));
  const body = Uint8Array.from(record.body);
  return create(LedgerRecordSchema, {...record, state, headers, body});
}

/** A record as it was received; undefined when any part of it is not valid. */
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

/** Splits records into messages of bounded size. */
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
  const texts = record.key.length + record.fingerprint.length;
  return record.body.byteLength + headers + texts;
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
