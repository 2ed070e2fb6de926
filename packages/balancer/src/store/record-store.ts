/** The store in which operators, upstreams and entries leave their records. */

import type {Result} from '@wasabidyke/shared';

/** Why a call gave nothing that can be used. */
export interface RecordStoreError {
  /** 'unavailable': no answer, or the store says that it can't serve now; 'refused': it never will as asked. */
  readonly kind:
    'unavailable' | 'refused' | 'history-lost' | 'no-lease' | 'malformed';
  readonly message: string;
}

/** A change of one key. */
export interface RecordChange {
  readonly key: string;
  /** Undefined when the key was deleted. */
  readonly value: Buffer | undefined;
  /** The store's revision of this change. */
  readonly revision: number;
}

/** Changes up to a revision of the store. */
export interface RecordChanges {
  readonly changes: readonly RecordChange[];
  readonly revision: number;
}

/** A lease: records that are bound to it vanish when it ends. */
export interface RecordLease {
  readonly id: number;
  readonly lifetimeMs: number;
}

/** A store with ranges, watches and leases. Every call has a deadline of its own. */
export abstract class RecordStore {
  /** Whether watches are paid for, so that changes are better gathered. */
  get isPaidFor(): boolean {
    return true;
  }

  /**
   * Reads every record; `revision` is one from which a watch misses nothing.
   * @param mayBeOld Whether records that are seconds old will do, which costs a fraction.
   */
  abstract readAll(
    mayBeOld: boolean,
  ): Promise<Result<RecordChanges, RecordStoreError>>;

  /** Waits for changes after a revision; none when `waitMs` has passed. */
  abstract watch(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RecordChanges, RecordStoreError>>;

  /** The store's revision, perhaps seconds old, by the cheapest read there is. */
  abstract readRevision(): Promise<Result<number, RecordStoreError>>;

  /** Writes a record whatever stands there. */
  abstract put(
    key: string,
    value: Buffer,
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>>;

  /** Asks for a lease. */
  abstract grantLease(
    lifetimeMs: number,
  ): Promise<Result<RecordLease, RecordStoreError>>;

  /** Renews a lease. */
  abstract keepLease(
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>>;

  /** Ends a lease; its records vanish. */
  abstract endLease(
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>>;

  /** Ends all connections. */
  abstract close(): Promise<void>;
}
