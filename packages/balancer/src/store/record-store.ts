/** Interface to the store that holds the records of operators, upstreams and entries. */

import type {Result} from '@wasabidyke/shared';
import {StoreEras, type StorePosition} from './store-eras.js';

/** Failure of a store call. */
export interface RecordStoreError {
  /** 'unavailable': no answer, or the store can't serve the call now; 'refused': the store will never serve this call. */
  readonly kind:
    'unavailable' | 'refused' | 'history-lost' | 'no-lease' | 'malformed';
  readonly message: string;
}

/** A change of one key. */
export interface RecordChange {
  readonly key: string;
  /** Undefined when the key was deleted. */
  readonly value: Buffer | undefined;
  /** Store revision of this change. */
  readonly revision: number;
}

/**
 * Leaves out the changes that a later one in the list replaces. Of each key, the
 * last value, the last deletion and the last value before it stay: an upstream
 * that was leaving said so in that value, and a value that is written late after
 * a deletion doesn't undo it.
 */
export function withoutReplaced(
  changes: readonly RecordChange[],
): readonly RecordChange[] {
  const lastValues = new Set<string>();
  const deletions = new Set<string>();
  const formerValues = new Set<string>();
  const kept: RecordChange[] = [];
  for (const change of [...changes].reverse()) {
    const {key, value} = change;
    const seen =
      value === undefined
        ? deletions
        : deletions.has(key)
          ? formerValues
          : lastValues;
    if (!seen.has(key)) {
      seen.add(key);
      kept.push(change);
    }
  }
  return kept.reverse();
}

/** Changes up to a position of the store. */
export interface RecordChanges extends StorePosition {
  readonly changes: readonly RecordChange[];
}

/** A lease. Its records are deleted when it ends. */
export interface RecordLease {
  readonly id: number;
  readonly lifetimeMs: number;
  /** Era in which it was granted: another entry may hold its id in a later one. */
  readonly era: number;
}

/** Time within which the store must confirm records that no other entry reads, in milliseconds. Source: together with the time-out of a watch and a retry, it stays within three seconds, after which an entry whose connections fell silent must be up to date. */
const CONFIRMATION_MS = 1_800;

/** A store with range reads, watches and leases. Every call has its own timeout. */
export abstract class RecordStore {
  /** Era of the store, as far as its answers have told. */
  readonly eras: StoreEras;

  constructor(eras = new StoreEras()) {
    this.eras = eras;
  }

  /** Time within which an answer of the store must confirm that no change is missing, in milliseconds. */
  get confirmationMs(): number {
    return CONFIRMATION_MS;
  }

  /** Whether each watch is billed, so that several changes should be batched into one. */
  get isWatchBilled(): boolean {
    return true;
  }

  /**
   * Reads all records. A watch from the returned position misses no change.
   * @param mayBeOld Whether records may be seconds old, which costs a fraction.
   */
  abstract readAll(
    mayBeOld: boolean,
  ): Promise<Result<RecordChanges, RecordStoreError>>;

  /**
   * Waits for changes after a position; returns none after `waitMs`
   * milliseconds. Changes of another era than that of the position say nothing.
   */
  abstract watch(
    after: StorePosition,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RecordChanges, RecordStoreError>>;

  /**
   * Reads the store revision.
   * @param mayBeOld Whether it may be seconds old, which costs a fraction.
   */
  abstract readRevision(
    mayBeOld: boolean,
  ): Promise<Result<StorePosition, RecordStoreError>>;

  /** Writes a record; overwrites an existing one. */
  abstract put(
    key: string,
    value: Buffer,
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>>;

  /** Creates a lease. */
  abstract grantLease(
    lifetimeMs: number,
  ): Promise<Result<RecordLease, RecordStoreError>>;

  /** Renews a lease. */
  abstract keepLease(
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>>;

  /** Ends a lease and deletes its records. */
  abstract endLease(
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
