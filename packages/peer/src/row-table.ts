/**
 * The replicated table of rows. Merging keeps the higher row of each key, which
 * is associative, commutative and idempotent, so rows may arrive in any order
 * and more than once (Shapiro et al., "Conflict-free Replicated Data Types",
 * 2011). Tables of two entries may differ at any time, so no safety property may
 * depend on them.
 */

import {MINUTE_MS} from '@wasabidyke/shared';
import {
  compareRows,
  ROW_KINDS,
  toRowId,
  type Row,
  type RowId,
  type RowKind,
} from './rows.js';

/** Maximum number of rows of each kind. */
export type RowLimits = Readonly<Record<RowKind, number>>;

/** Default limits of a table. */
export const DEFAULT_ROW_LIMITS: RowLimits = {
  member: 1_024,
  departure: 4_096,
  suspect: 1_024,
  succession: 1_024,
  'manifest-notice': 1_024,
};

/** Maximum lead of a version or of a member's start over the local clock; rows further ahead are refused. */
export const MAXIMUM_VERSION_LEAD_MS = 10 * MINUTE_MS;

/** Maximum time from a row's publication to its expiry. */
export const MAXIMUM_ROW_LIFE_MS = 7 * 24 * 60 * MINUTE_MS;

/** Result of merging a row. */
export type MergeOutcome =
  /** The key was not in the table; the row was added. */
  | 'added'
  /** The row replaced a lower one of its key. */
  | 'raised'
  /** The table already holds the same row or a higher one. */
  | 'known'
  /** The row had already expired and was refused. */
  | 'expired'
  /** The row's version, expiry or process start is too far in the future; it was refused. */
  | 'far-future'
  /** The table holds the maximum number of rows of this kind; the row was refused. */
  | 'full';

/** Row with its identifier. */
export interface IdentifiedRow<Kind extends RowKind> {
  readonly id: RowId;
  readonly row: Row<Kind>;
}

/** Identifier and version of a row. */
export interface RowVersion {
  readonly id: RowId;
  readonly version: number;
}

/** Fields of a member's row that change without a new version. */
export interface HeartbeatUpdate extends RowVersion {
  readonly heartbeat: number;
  /** Number of requests in flight. */
  readonly load: number;
  /** Revision of the manifest in use; 0 if there is none. */
  readonly revision: number;
}

const HASH_MULTIPLIER = 0x9e37_79b9_7f4a_7c15n;
const SUM_BITS = 64;

class KindTable {
  readonly rows = new Map<RowId, Row>();
  sum = 0n;
}

/** All rows that one entry holds, by kind and identifier. */
export class RowTable {
  readonly #limits: RowLimits;
  readonly #tables = new Map<RowKind, KindTable>();

  constructor(limits: RowLimits = DEFAULT_ROW_LIMITS) {
    this.#limits = limits;
    for (const kind of ROW_KINDS) {
      this.#tables.set(kind, new KindTable());
    }
  }

  /** Merges one row. @param nowMs Milliseconds since the Unix epoch. */
  merge(row: Row, nowMs: number): MergeOutcome {
    if (isFarFuture(row, nowMs)) {
      return 'far-future';
    }
    if (hasExpired(row, nowMs)) {
      return 'expired';
    }
    const table = this.#table(row.kind);
    const id = toRowId(row);
    const present = table.rows.get(id);
    if (present !== undefined) {
      return this.#replaceIfNewer(table, id, present, row);
    }
    if (table.rows.size >= this.#limits[row.kind]) {
      return 'full';
    }
    putRow(table, id, row);
    return 'added';
  }

  /**
   * Applies a heartbeat update to a member's row.
   * @returns False, with the row unchanged, if the row is missing, its version differs or the heartbeat is not higher.
   */
  applyHeartbeat(update: HeartbeatUpdate): boolean {
    const present = this.find('member', update.id);
    if (
      present === undefined ||
      present.version !== update.version ||
      present.value.heartbeat >= update.heartbeat
    ) {
      return false;
    }
    const {heartbeat, load, revision} = update;
    const value = {...present.value, heartbeat, load, revision};
    this.#table('member').rows.set(update.id, {...present, value});
    return true;
  }

  /** Returns the row with this identifier, of any kind. */
  findAny(id: RowId): Row | undefined {
    for (const table of this.#tables.values()) {
      const row = table.rows.get(id);
      if (row !== undefined) {
        return row;
      }
    }
    return undefined;
  }

  /** Returns the row of this kind and identifier. */
  find<Kind extends RowKind>(kind: Kind, id: RowId): Row<Kind> | undefined {
    return this.#table(kind).rows.get(id) as Row<Kind> | undefined;
  }

  /** Returns all rows of a kind. */
  rows<Kind extends RowKind>(kind: Kind): ReadonlyArray<Row<Kind>> {
    return [...this.#table(kind).rows.values()] as Array<Row<Kind>>;
  }

  /** Returns all rows of a kind with their identifiers. */
  entries<Kind extends RowKind>(
    kind: Kind,
  ): ReadonlyArray<IdentifiedRow<Kind>> {
    const entries = [...this.#table(kind).rows];
    return entries.map(([id, row]) => ({id, row: row as Row<Kind>}));
  }

  /** Returns the number of rows of a kind. */
  count(kind: RowKind): number {
    return this.#table(kind).rows.size;
  }

  /** Returns a checksum of the rows of a kind: equal sums mean equal identifiers and versions, except for a 64-bit collision. */
  sum(kind: RowKind): bigint {
    return this.#table(kind).sum;
  }

  /** Returns the identifiers and versions of all rows of a kind. */
  versions(kind: RowKind): readonly RowVersion[] {
    const entries = [...this.#table(kind).rows];
    return entries.map(([id, row]) => ({id, version: row.version}));
  }

  /** Removes a row if it exists. */
  remove(kind: RowKind, id: RowId): void {
    const table = this.#table(kind);
    const present = table.rows.get(id);
    if (present !== undefined) {
      table.rows.delete(id);
      addToSum(table, -hashVersion(id, present.version));
    }
  }

  /** Removes expired rows. @param nowMs Milliseconds since the Unix epoch. */
  expire(nowMs: number): void {
    for (const [kind, table] of this.#tables) {
      for (const [id, row] of table.rows) {
        if (hasExpired(row, nowMs)) {
          this.remove(kind, id);
        }
      }
    }
  }

  #replaceIfNewer(
    table: KindTable,
    id: RowId,
    present: Row,
    row: Row,
  ): MergeOutcome {
    if (compareRows(row, present) <= 0) {
      return 'known';
    }
    addToSum(table, -hashVersion(id, present.version));
    putRow(table, id, row);
    return 'raised';
  }

  #table(kind: RowKind): KindTable {
    return this.#tables.get(kind)!;
  }
}

function putRow(table: KindTable, id: RowId, row: Row): void {
  table.rows.set(id, row);
  addToSum(table, hashVersion(id, row.version));
}

function addToSum(table: KindTable, amount: bigint): void {
  table.sum = BigInt.asUintN(SUM_BITS, table.sum + amount);
}

function hashVersion(id: RowId, version: number): bigint {
  const hash = (id ^ BigInt(version)) * HASH_MULTIPLIER;
  return BigInt.asUintN(SUM_BITS, hash ^ (hash >> 29n));
}

function isFarFuture(row: Row, nowMs: number): boolean {
  const latest = nowMs + MAXIMUM_VERSION_LEAD_MS;
  if (row.kind === 'member' && row.value.startedAtMs > latest) {
    return true;
  }
  return row.version > latest || row.expiresAtMs > latest + MAXIMUM_ROW_LIFE_MS;
}

function hasExpired(row: Row, nowMs: number): boolean {
  return row.kind !== 'member' && row.expiresAtMs <= nowMs;
}
