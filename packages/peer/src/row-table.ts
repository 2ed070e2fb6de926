/**
 * The replicated table. Merging takes the higher row of each key, which is
 * associative, commutative and idempotent: order and repetition do not matter
 * (Shapiro et al., "Conflict-free Replicated Data Types", 2011). Tables of two
 * entries may differ at any time; nothing that must be safe may rest on them.
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

/** Most rows of each kind. */
export type RowLimits = Readonly<Record<RowKind, number>>;

/** The limits of a table unless others are given. */
export const DEFAULT_ROW_LIMITS: RowLimits = {
  member: 1_024,
  departure: 4_096,
  suspect: 1_024,
  succession: 1_024,
  'manifest-notice': 1_024,
};

/** A version or a member's start this far ahead of the local clock is refused. */
export const MAXIMUM_VERSION_LEAD_MS = 10 * MINUTE_MS;

/** A row may live no longer than this. */
export const MAXIMUM_ROW_LIFE_MS = 7 * 24 * 60 * MINUTE_MS;

/** What became of a row that was merged. */
export type MergeOutcome =
  /** The key was not in the table. */
  | 'added'
  /** It replaced a lower row. */
  | 'raised'
  /** The table holds the same row or a higher one. */
  | 'known'
  /** It had ended already. */
  | 'expired'
  /** Its version or its end lies too far in the future. */
  | 'far-future'
  /** The table holds as many rows of its kind as it may. */
  | 'full';

/** A row with its identifier. */
export interface Identified<Kind extends RowKind> {
  readonly id: RowId;
  readonly row: Row<Kind>;
}

/** The version of one row. */
export interface RowVersion {
  readonly id: RowId;
  readonly version: number;
}

/** The part of a member's row that changes with each heartbeat. */
export interface Beat extends RowVersion {
  readonly heartbeat: number;
  /** Requests in flight. */
  readonly load: number;
  /** Revision of the manifest in force; 0 for none. */
  readonly revision: number;
}

const MIX_MULTIPLIER = 0x9e37_79b9_7f4a_7c15n;
const WORD_BITS = 64;

class KindTable {
  readonly rows = new Map<RowId, Row>();
  sum = 0n;
}

/** All rows that one entry knows. */
export class RowTable {
  readonly #limits: RowLimits;
  readonly #kinds = new Map<RowKind, KindTable>();

  constructor(limits: RowLimits = DEFAULT_ROW_LIMITS) {
    this.#limits = limits;
    for (const kind of ROW_KINDS) {
      this.#kinds.set(kind, new KindTable());
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
      return this.#raise(table, id, present, row);
    }
    if (table.rows.size >= this.#limits[row.kind]) {
      return 'full';
    }
    set(table, id, row);
    return 'added';
  }

  /** Replaces the volatile part of a member's row where the version stands and the heartbeat rises. */
  applyBeat(beat: Beat): boolean {
    const present = this.find('member', beat.id);
    if (
      present === undefined ||
      present.version !== beat.version ||
      present.value.heartbeat >= beat.heartbeat
    ) {
      return false;
    }
    const {heartbeat, load, revision} = beat;
    const value = {...present.value, heartbeat, load, revision};
    this.#table('member').rows.set(beat.id, {...present, value});
    return true;
  }

  /** The row of this identifier, of whatever kind. */
  findAny(id: RowId): Row | undefined {
    for (const table of this.#kinds.values()) {
      const row = table.rows.get(id);
      if (row !== undefined) {
        return row;
      }
    }
    return undefined;
  }

  /** The row of this identifier. */
  find<Kind extends RowKind>(kind: Kind, id: RowId): Row<Kind> | undefined {
    return this.#table(kind).rows.get(id) as Row<Kind> | undefined;
  }

  /** All rows of a kind. */
  rows<Kind extends RowKind>(kind: Kind): ReadonlyArray<Row<Kind>> {
    return [...this.#table(kind).rows.values()] as Array<Row<Kind>>;
  }

  /** All rows of a kind with their identifiers. */
  entries<Kind extends RowKind>(kind: Kind): ReadonlyArray<Identified<Kind>> {
    const entries = [...this.#table(kind).rows];
    return entries.map(([id, row]) => ({id, row: row as Row<Kind>}));
  }

  /** Rows of a kind. */
  count(kind: RowKind): number {
    return this.#table(kind).rows.size;
  }

  /** A sum over the rows of a kind: equal sums mean, but for a 64-bit collision, equal versions. */
  sum(kind: RowKind): bigint {
    return this.#table(kind).sum;
  }

  /** The versions of all rows of a kind. */
  versions(kind: RowKind): readonly RowVersion[] {
    const entries = [...this.#table(kind).rows];
    return entries.map(([id, row]) => ({id, version: row.version}));
  }

  /** Removes a row. */
  remove(kind: RowKind, id: RowId): void {
    const table = this.#table(kind);
    const present = table.rows.get(id);
    if (present !== undefined) {
      table.rows.delete(id);
      addToSum(table, -mix(id, present.version));
    }
  }

  /** Removes the rows that have ended. */
  expire(nowMs: number): void {
    for (const [kind, table] of this.#kinds) {
      for (const [id, row] of table.rows) {
        if (hasExpired(row, nowMs)) {
          this.remove(kind, id);
        }
      }
    }
  }

  #raise(table: KindTable, id: RowId, present: Row, row: Row): MergeOutcome {
    if (compareRows(row, present) <= 0) {
      return 'known';
    }
    addToSum(table, -mix(id, present.version));
    set(table, id, row);
    return 'raised';
  }

  #table(kind: RowKind): KindTable {
    return this.#kinds.get(kind)!;
  }
}

function set(table: KindTable, id: RowId, row: Row): void {
  table.rows.set(id, row);
  addToSum(table, mix(id, row.version));
}

function addToSum(table: KindTable, amount: bigint): void {
  table.sum = BigInt.asUintN(WORD_BITS, table.sum + amount);
}

function mix(id: RowId, version: number): bigint {
  const mixed = (id ^ BigInt(version)) * MIX_MULTIPLIER;
  return BigInt.asUintN(WORD_BITS, mixed ^ (mixed >> 29n));
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
