/** Converts rows to and from their protobuf messages; received rows are validated. */

import {create, type Message, type MessageInitShape} from '@bufbuild/protobuf';
import {
  DepartureSource,
  MemberState as WireMemberState,
  RowKind as WireRowKind,
  RowSchema,
  type Row as WireRow,
} from './gen/wasabidyke/peer/v1/peer_pb.js';
import {
  rowContentSchema,
  type Departure,
  type MemberState,
  type Row,
  type RowKind,
} from './rows.js';

const MEMBER_STATES: Readonly<Record<MemberState, WireMemberState>> = {
  joining: WireMemberState.JOINING,
  serving: WireMemberState.SERVING,
  draining: WireMemberState.DRAINING,
  stopped: WireMemberState.STOPPED,
};

const DEPARTURE_SOURCES: Readonly<
  Record<Departure['source'], DepartureSource>
> = {
  manifest: DepartureSource.MANIFEST,
  'vm-list': DepartureSource.VM_LIST,
  upstream: DepartureSource.UPSTREAM,
};

const ROW_KINDS: Readonly<Record<RowKind, WireRowKind>> = {
  member: WireRowKind.MEMBER,
  departure: WireRowKind.DEPARTURE,
  suspect: WireRowKind.SUSPECT,
  succession: WireRowKind.SUCCESSION,
  'manifest-notice': WireRowKind.MANIFEST_NOTICE,
};

/** Converts a row kind to its wire value. */
export function toWireKind(kind: RowKind): WireRowKind {
  return ROW_KINDS[kind];
}

/** Converts a wire value to a row kind; undefined for an unknown kind. */
export function fromWireKind(kind: WireRowKind): RowKind | undefined {
  return findName(ROW_KINDS, kind);
}

/** Converts a row to its wire message. */
export function toWireRow(row: Row): WireRow {
  return create(RowSchema, {
    version: BigInt(row.version),
    expiresAtMs: BigInt(row.expiresAtMs),
    value: toWireValue(row),
  });
}

/** Converts and validates a received row; undefined if any part of it is invalid. */
export function fromWireRow(wire: WireRow): Row | undefined {
  const version = toSafeInteger(wire.version);
  const expiresAtMs = toSafeInteger(wire.expiresAtMs);
  if (version === undefined || expiresAtMs === undefined) {
    return undefined;
  }
  const parsed = rowContentSchema.safeParse(toContent(wire.value));
  return parsed.success ? {...parsed.data, version, expiresAtMs} : undefined;
}

/** Converts a 64-bit integer to a number; undefined if it is not a safe integer. */
export function toSafeInteger(value: bigint): number | undefined {
  const converted = Number(value);
  return Number.isSafeInteger(converted) ? converted : undefined;
}

function toWireValue(row: Row): MessageInitShape<typeof RowSchema>['value'] {
  switch (row.kind) {
    case 'member': {
      const {state, startedAtMs, ...rest} = row.value;
      const value = {
        ...rest,
        state: MEMBER_STATES[state],
        startedAtMs: BigInt(startedAtMs),
      };
      return {case: 'member', value};
    }
    case 'departure':
      return {case: 'departure', value: toWireDeparture(row.value)};
    case 'suspect':
      return {case: 'suspect', value: row.value};
    case 'succession':
      return {case: 'succession', value: row.value};
    case 'manifest-notice':
      return {case: 'manifestNotice', value: row.value};
  }
}

function toWireDeparture({target, source}: Departure) {
  const wireSource = DEPARTURE_SOURCES[source];
  const {kind, ...value} = target;
  return kind === 'vm'
    ? {target: {case: 'vm' as const, value}, source: wireSource}
    : {target: {case: 'upstream' as const, value}, source: wireSource};
}

function toContent(wire: WireRow['value']): unknown {
  switch (wire.case) {
    case 'member': {
      const value = {
        ...toFields(wire.value),
        state: findName(MEMBER_STATES, wire.value.state),
        startedAtMs: toSafeInteger(wire.value.startedAtMs),
      };
      return {kind: 'member', value};
    }
    case 'departure': {
      const {target, source} = wire.value;
      const fields = target.value && toFields(target.value);
      const value = {
        target: {kind: target.case, ...fields},
        source: findName(DEPARTURE_SOURCES, source),
      };
      return {kind: 'departure', value};
    }
    case 'suspect':
      return {kind: 'suspect', value: toFields(wire.value)};
    case 'succession':
      return {kind: 'succession', value: toFields(wire.value)};
    case 'manifestNotice':
      return {kind: 'manifest-notice', value: toFields(wire.value)};
    default:
      return undefined;
  }
}

/** Returns the fields of a message without those that the protobuf codec adds: the type name and unknown fields. */
function toFields(message: Message): Record<string, unknown> {
  const fields = Object.entries(message);
  return Object.fromEntries(fields.filter(([name]) => !name.startsWith('$')));
}

function findName<Name extends string, Value>(
  table: Readonly<Record<Name, Value>>,
  value: Value,
): Name | undefined {
  const names = Object.keys(table) as Name[];
  return names.find(name => table[name] === value);
}
