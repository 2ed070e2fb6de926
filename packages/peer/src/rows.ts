/** The rows that entries replicate: their kinds, their keys and what a valid one looks like. */

import {createHash} from 'node:crypto';
import {z} from 'zod';

/** Longest name of anything in a row, in characters. */
const MAXIMUM_NAME_LENGTH = 128;

/** Most homes that one member may have taken over. */
const MAXIMUM_HOMES = 64;

/** Most crashed upstreams that one reporter names for one request. */
const MAXIMUM_SUSPECT_UPSTREAMS = 16;

/** Largest value of a counter on the wire. */
const MAXIMUM_UINT32 = 0xffff_ffff;

const nameSchema = z.string().min(1).max(MAXIMUM_NAME_LENGTH);
const addressSchema = z
  .string()
  .max(MAXIMUM_NAME_LENGTH)
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/);
const counterSchema = z.int().min(0).max(MAXIMUM_UINT32);

/** Identity of one start of a process: 16 random hexadecimal digits. */
export const incarnationSchema = z.string().regex(/^[0-9a-f]{16}$/);

/** What an entry says of itself. */
export const memberStateSchema = z.enum([
  'joining',
  'serving',
  'draining',
  'stopped',
]);

/** What an entry says of itself. */
export type MemberState = z.infer<typeof memberStateSchema>;

/** One entry process. */
export const memberSchema = z.strictObject({
  entry: nameSchema,
  incarnation: incarnationSchema,
  state: memberStateSchema,
  /** Where callers connect. */
  callerAddress: addressSchema,
  /** Where other entries connect. */
  peerAddress: addressSchema,
  region: nameSchema,
  zone: nameSchema,
  /** Milliseconds since the Unix epoch, by its own clock. */
  startedAtMs: z.int().nonnegative(),
  /** Incarnations whose ledgers it took over. */
  homes: z.array(incarnationSchema).max(MAXIMUM_HOMES),
  /** Rises once per period while the process runs. */
  heartbeat: counterSchema,
  /** Requests in flight. */
  load: counterSchema,
  /** Revision of the manifest in force; 0 for none. */
  revision: counterSchema,
});

/** One entry process. */
export type Member = z.infer<typeof memberSchema>;

/** How a departure was learned. */
export const departureSourceSchema = z.enum([
  'manifest',
  'vm-list',
  'upstream',
]);

/** An upstream, or everything on a VM, is leaving. */
export const departureSchema = z.strictObject({
  target: z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('upstream'),
      service: nameSchema,
      name: nameSchema,
      address: addressSchema,
    }),
    z.strictObject({kind: z.literal('vm'), name: nameSchema}),
  ]),
  source: departureSourceSchema,
});

/** An upstream, or everything on a VM, is leaving. */
export type Departure = z.infer<typeof departureSchema>;

/** A request that was in flight when upstreams crashed, as one reporter saw it. */
export const suspectSchema = z.strictObject({
  service: nameSchema,
  fingerprint: nameSchema,
  /** Incarnation of the entry that saw them; each writes its own row. */
  reporter: incarnationSchema,
  /** Addresses of the upstreams that crashed. */
  upstreams: z.array(nameSchema).min(1).max(MAXIMUM_SUSPECT_UPSTREAMS),
});

/** A request that was in flight when upstreams crashed, as one reporter saw it. */
export type Suspect = z.infer<typeof suspectSchema>;

/** Who answers for the ledger of a home that has stopped. */
export const successionSchema = z.strictObject({
  home: incarnationSchema,
  successorEntry: nameSchema,
  successorIncarnation: incarnationSchema,
});

/** Who answers for the ledger of a home that has stopped. */
export type Succession = z.infer<typeof successionSchema>;

/** A manifest that its publisher has in force. */
export const manifestNoticeSchema = z.strictObject({
  /** Name of the entry. */
  publisher: nameSchema,
  revision: z.int().min(1).max(MAXIMUM_UINT32),
  digest: z.string().regex(/^[0-9a-f]{64}$/),
});

/** A manifest that its publisher has in force. */
export type ManifestNotice = z.infer<typeof manifestNoticeSchema>;

/** A row's kind together with its value. */
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

/** A row's kind together with its value. */
export type RowContent = z.infer<typeof rowContentSchema>;

/** The kinds of rows. */
export type RowKind = RowContent['kind'];

/** The value of a row of one kind. */
export type RowValue<Kind extends RowKind> = Extract<
  RowContent,
  {kind: Kind}
>['value'];

/** A row with its version, as it stands in the table. */
export type Row<Kind extends RowKind = RowKind> = Extract<
  RowContent,
  {kind: Kind}
> & {
  /** Only rises for a key. Milliseconds since the Unix epoch at its publisher, or just above the version before. */
  readonly version: number;
  /** Milliseconds since the Unix epoch. A member's row has 0: it ends by silence. */
  readonly expiresAtMs: number;
};

/** What an entry publishes: the table gives it its version. */
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

/** Identifier of a row on the wire: 64 bits of the SHA-1 of its key. */
export type RowId = bigint;

/** The key of a row within the whole table. */
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

/** The identifier of a row. */
export function toRowId(row: RowContent): RowId {
  const hash = createHash('sha1').update(toRowKey(row)).digest();
  return hash.readBigUInt64LE(0);
}

/**
 * Orders two rows of one key: by version, then by heartbeat. Rows that differ
 * in neither are ordered by their text, so that every table keeps the same one.
 */
export function compareRows(left: Row, right: Row): number {
  if (left.version !== right.version) {
    return left.version - right.version;
  }
  if (left.kind === 'member' && right.kind === 'member') {
    const heartbeats = left.value.heartbeat - right.value.heartbeat;
    if (heartbeats !== 0) {
      return heartbeats;
    }
  }
  return compareTexts(toOrderedText(left), toOrderedText(right));
}

function toDepartureKey({target}: Departure): string {
  return target.kind === 'vm'
    ? joinKey('departure', 'vm', target.name)
    : joinKey('departure', target.service, target.name, target.address);
}

function joinKey(...parts: readonly string[]): string {
  return JSON.stringify(parts);
}

function toOrderedText(row: Row): string {
  return JSON.stringify([row.expiresAtMs, row.value]);
}

function compareTexts(left: string, right: string): number {
  return left === right ? 0 : left < right ? -1 : 1;
}
