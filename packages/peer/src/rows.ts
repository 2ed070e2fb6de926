/** Kinds, schemas, keys and order of the rows that entries replicate by gossip. */

import {createHash} from 'node:crypto';
import {hostAddressSchema, startTimeSchema} from '@wasabidyke/shared';
import {z} from 'zod';

/** Maximum length of any name in a row, in characters. */
const MAXIMUM_NAME_LENGTH = 128;

/** Maximum number of ledger homes that one member may have taken over. */
const MAXIMUM_HOMES = 64;

/** Maximum number of crashed upstreams that one reporter lists for one request. */
const MAXIMUM_SUSPECT_UPSTREAMS = 16;

/** Largest value of a counter on the wire. */
const MAXIMUM_UINT32 = 0xffff_ffff;

const nameSchema = z.string().min(1).max(MAXIMUM_NAME_LENGTH);
const counterSchema = z.int().min(0).max(MAXIMUM_UINT32);

/** Identifies one run of a process: 16 random hexadecimal digits, new at each start. */
export const incarnationSchema = z.string().regex(/^[0-9a-f]{16}$/);

/** Life-cycle state that an entry announces for itself. */
export const memberStateSchema = z.enum([
  'joining',
  'serving',
  'draining',
  'stopped',
]);

/** Life-cycle state that an entry announces for itself. */
export type MemberState = z.infer<typeof memberStateSchema>;

/** Row value that describes one entry process. */
export const memberSchema = z.strictObject({
  entry: nameSchema,
  incarnation: incarnationSchema,
  state: memberStateSchema,
  /** Address that callers connect to. */
  callerAddress: hostAddressSchema,
  /** Address that other entries connect to. */
  peerAddress: hostAddressSchema,
  region: nameSchema,
  zone: nameSchema,
  /** Start of the process in milliseconds since the Unix epoch, by its own clock. */
  startedAtMs: startTimeSchema,
  /** Incarnations of the stopped entries whose ledgers this one took over. */
  homes: z.array(incarnationSchema).max(MAXIMUM_HOMES),
  /** Counter that rises once per gossip period while the process runs. */
  heartbeat: counterSchema,
  /** Number of requests in flight. */
  load: counterSchema,
  /** Revision of the manifest in use; 0 if there is none. */
  revision: counterSchema,
});

/** Row value that describes one entry process. */
export type Member = z.infer<typeof memberSchema>;

/** Source from which a departure was learned. */
export const departureSourceSchema = z.enum([
  'manifest',
  'vm-list',
  'upstream',
]);

/** Announces that an upstream, or everything on a VM, is about to leave. */
export const departureSchema = z.strictObject({
  target: z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('upstream'),
      service: nameSchema,
      name: nameSchema,
      address: hostAddressSchema,
    }),
    z.strictObject({kind: z.literal('vm'), name: nameSchema}),
  ]),
  source: departureSourceSchema,
});

/** Announces that an upstream, or everything on a VM, is about to leave. */
export type Departure = z.infer<typeof departureSchema>;

/** Request that was in flight when upstreams crashed, as seen by one reporting entry. */
export const suspectSchema = z.strictObject({
  service: nameSchema,
  fingerprint: nameSchema,
  /** Incarnation of the entry that observed the crashes; each reporter writes its own row. */
  reporter: incarnationSchema,
  /** Addresses of the upstreams that crashed. */
  upstreams: z.array(nameSchema).min(1).max(MAXIMUM_SUSPECT_UPSTREAMS),
});

/** Request that was in flight when upstreams crashed, as seen by one reporting entry. */
export type Suspect = z.infer<typeof suspectSchema>;

/** Names the entry that took over the ledger of a stopped entry, the home of its records. */
export const successionSchema = z.strictObject({
  home: incarnationSchema,
  successorEntry: nameSchema,
  successorIncarnation: incarnationSchema,
});

/** Names the entry that took over the ledger of a stopped entry, the home of its records. */
export type Succession = z.infer<typeof successionSchema>;

/** Announces the manifest that an entry, its publisher, is using. */
export const manifestNoticeSchema = z.strictObject({
  /** Name of the publishing entry. */
  publisher: nameSchema,
  revision: z.int().min(1).max(MAXIMUM_UINT32),
  /** Digest of the manifest: 64 hexadecimal digits. */
  digest: z.string().regex(/^[0-9a-f]{64}$/),
});

/** Announces the manifest that an entry, its publisher, is using. */
export type ManifestNotice = z.infer<typeof manifestNoticeSchema>;

/** Kind and value of a row, without its version and expiry. */
export const rowContentSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('member'), value: memberSchema}),
  z.strictObject({kind: z.literal('departure'), value: departureSchema}),
  z.strictObject({kind: z.literal('suspect'), value: suspectSchema}),
  z.strictObject({kind: z.literal('succession'), value: successionSchema}),
  z.strictObject({
    kind: z.literal('manifest-notice'),
    value: manifestNoticeSchema,
  }),
]);

/** Kind and value of a row, without its version and expiry. */
export type RowContent = z.infer<typeof rowContentSchema>;

/** Name of a row kind. */
export type RowKind = RowContent['kind'];

/** Value type of a row of the given kind. */
export type RowValue<Kind extends RowKind> = Extract<
  RowContent,
  {kind: Kind}
>['value'];

/** Row as stored in a table, with its version and expiry. */
export type Row<Kind extends RowKind = RowKind> = Extract<
  RowContent,
  {kind: Kind}
> & {
  /**
   * Rises with each change of the row: the publisher's clock in milliseconds
   * since the Unix epoch, or the previous version plus one if that is higher.
   */
  readonly version: number;
  /**
   * Milliseconds since the Unix epoch. 0 for a member's row, which is removed
   * when its heartbeats stop.
   */
  readonly expiresAtMs: number;
};

/** Row to be published; the replica assigns its version. */
export type RowDraft = Exclude<RowContent, {kind: 'member'}> & {
  /** Milliseconds since the Unix epoch. */
  readonly expiresAtMs: number;
};

/** All kinds of rows. */
export const ROW_KINDS: readonly RowKind[] = [
  'member',
  'departure',
  'suspect',
  'succession',
  'manifest-notice',
];

/** Identifier of a row on the wire: the first 64 bits of the SHA-1 of its key. */
export type RowId = bigint;

/** Returns the key of a row, unique across all kinds. */
export function toRowKey(row: RowContent): string {
  switch (row.kind) {
    case 'member':
      return joinKey(row.kind, row.value.entry);
    case 'departure':
      return toDepartureKey(row.value);
    case 'suspect': {
      const {service, fingerprint, reporter} = row.value;
      return joinKey(row.kind, service, fingerprint, reporter);
    }
    case 'succession':
      return joinKey(row.kind, row.value.home);
    case 'manifest-notice':
      return joinKey(row.kind, row.value.publisher);
  }
}

/** Returns the identifier of a row. */
export function toRowId(row: RowContent): RowId {
  const hash = createHash('sha1').update(toRowKey(row)).digest();
  return hash.readBigUInt64LE(0);
}

/**
 * Orders two rows of the same key by version, then by heartbeat. Ties are
 * broken by the serialized rows, so that every table keeps the same one.
 */
export function compareRows(left: Row, right: Row): number {
  if (left.version !== right.version) {
    return left.version - right.version;
  }
  if (left.kind === 'member' && right.kind === 'member') {
    const heartbeatDifference = left.value.heartbeat - right.value.heartbeat;
    if (heartbeatDifference !== 0) {
      return heartbeatDifference;
    }
  }
  return compareTexts(serializeForOrder(left), serializeForOrder(right));
}

function toDepartureKey({target}: Departure): string {
  return target.kind === 'vm'
    ? joinKey('departure', 'vm', target.name)
    : joinKey('departure', target.service, target.name, target.address);
}

function joinKey(...parts: readonly string[]): string {
  return JSON.stringify(parts);
}

function serializeForOrder(row: Row): string {
  return JSON.stringify([row.expiresAtMs, row.value]);
}

function compareTexts(left: string, right: string): number {
  return left === right ? 0 : left < right ? -1 : 1;
}
