/** A store of records in memory, with the faults that a real one has. */

import {setTimeout as sleep} from 'node:timers/promises';
import {
  RecordStore,
  type RecordChange,
  type RecordChanges,
  type RecordLease,
  type RecordStoreError,
  type StorePosition,
} from '@wasabidyke/balancer';
import {Err, Ok, type Result} from '@wasabidyke/shared';

/** How the store misbehaves. */
export type StoreFault =
  | 'none'
  | 'down'
  /** Calls are taken and never answered. */
  | 'swallowing'
  | 'silent-watch'
  /** No watch is answered, on new connections either; all other calls work. */
  | 'silent-watches'
  /** One watch is cut; all other calls work. */
  | 'cut-watch'
  /** The revision can't be read; all other calls work. */
  | 'no-revisions'
  /** Writes are done and answered late. */
  | 'slow-writes'
  | 'history-lost';

/** Time after which a call is given up that isn't answered, in milliseconds, beyond the wait that it asks for. */
const TIMEOUT_MS = 700;

/** How late a slow write is done, in milliseconds. */
const SLOW_WRITE_MS = 300;

const UNAVAILABLE = {kind: 'unavailable', message: 'down'} as const;

/** What a store held when a copy was taken. */
export interface RecordCopy {
  readonly records: ReadonlyMap<string, Buffer>;
  readonly leases: ReadonlyMap<number, readonly string[]>;
  readonly revision: number;
  readonly lastLease: number;
}

/** A change, and when it was made. */
interface StoredChange extends RecordChange {
  readonly atMs: number;
}

/** The store. */
export class MemoryRecordStore extends RecordStore {
  fault: StoreFault = 'none';
  /** Age of reads that may be old, in milliseconds. */
  staleMs = 0;
  /**
   * Whether complete reads name the revision of each record's last change, by
   * which entries choose whom to follow; otherwise that of the read, so that
   * entries read the store themselves.
   */
  namesRevisions = false;
  /** Calls that were made, by name. */
  readonly calls = new Map<string, number>();
  readonly #records = new Map<string, Buffer>();
  /** Revision of each record's last change. */
  readonly #revisions = new Map<string, number>();
  #events: StoredChange[] = [];
  readonly #leases = new Map<number, string[]>();
  readonly #waiting = new Set<() => void>();
  #revision = 1;
  #lastLease = 0;
  /** Undefined while the store names no era. */
  #era: number | undefined;
  #keptAfter = 0;

  /** Writes a record, or deletes it. */
  set(key: string, value: object | string | undefined): void {
    this.#revision += 1;
    const text = typeof value === 'object' ? JSON.stringify(value) : value;
    const bytes = text === undefined ? undefined : Buffer.from(text);
    if (bytes === undefined) {
      this.#records.delete(key);
    } else {
      this.#records.set(key, bytes);
    }
    this.#revisions.set(key, this.#revision);
    const atMs = performance.now();
    this.#events.push({key, value: bytes, revision: this.#revision, atMs});
    for (const wake of [...this.#waiting]) {
      wake();
    }
  }

  /** Takes a copy to come back from. */
  copy(): RecordCopy {
    return {
      records: new Map(this.#records),
      leases: new Map([...this.#leases].map(([id, keys]) => [id, [...keys]])),
      revision: this.#revision,
      lastLease: this.#lastLease,
    };
  }

  /** Comes back from a copy, in another era. */
  comeBackFrom({records, leases, revision, lastLease}: RecordCopy): void {
    this.#records.clear();
    records.forEach((value, key) => this.#records.set(key, value));
    this.#leases.clear();
    leases.forEach((keys, id) => this.#leases.set(id, [...keys]));
    this.#revision = revision;
    this.#lastLease = lastLease;
    this.#events = [];
    this.#keptAfter = revision;
    this.#era = (this.#era ?? 0) + 1;
    for (const wake of [...this.#waiting]) {
      wake();
    }
  }

  /** The text of a record that stands now; empty if there is none. */
  read(key: string): string {
    return this.#records.get(key)?.toString('utf8') ?? '';
  }

  get #isHistoryLost(): boolean {
    return this.fault === 'history-lost';
  }

  /** Keys that stand now. */
  get keys(): readonly string[] {
    return [...this.#records.keys()];
  }

  override async readAll(
    mayBeOld = false,
  ): Promise<Result<RecordChanges, RecordStoreError>> {
    this.#count('read-all');
    if (this.fault === 'down') {
      return Err(UNAVAILABLE);
    }
    if (this.fault === 'history-lost') {
      this.fault = 'none';
    }
    if (mayBeOld && this.staleMs > 0) {
      return Ok(this.#readOld());
    }
    const changes = [...this.#records].map(([key, value]) => ({
      key,
      value,
      revision: this.#revisionOf(key),
    }));
    return Ok({changes, ...this.#position});
  }

  override async watch(
    {revision: afterRevision, era}: StorePosition,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RecordChanges, RecordStoreError>> {
    this.#count('watch');
    if (this.fault === 'down') {
      return Err(UNAVAILABLE);
    }
    if (this.#isHistoryLost) {
      return Err({kind: 'history-lost', message: 'compacted'});
    }
    if (this.fault === 'cut-watch') {
      this.fault = 'none';
      return Err({kind: 'unavailable', message: 'cut'});
    }
    const isSilent =
      this.fault === 'silent-watch' ||
      this.fault === 'silent-watches' ||
      this.fault === 'swallowing';
    if (this.fault === 'silent-watch') {
      // Only connections that are open go silent; new ones work.
      this.fault = 'none';
    }
    if (isSilent || !this.#hasNews(afterRevision)) {
      const limitMs = waitMs + (isSilent ? TIMEOUT_MS : 0);
      await this.#wait(limitMs, signal, isSilent);
    }
    if (isSilent) {
      return Err({kind: 'unavailable', message: 'timeout'});
    }
    if (signal.aborted) {
      return Err({kind: 'unavailable', message: 'aborted'});
    }
    if (this.#isHistoryLost) {
      return Err({kind: 'history-lost', message: 'compacted'});
    }
    if (afterRevision < this.#keptAfter || era !== this.#position.era) {
      return Err({kind: 'history-lost', message: 'compacted'});
    }
    const changes = this.#events.filter(
      ({revision}) => revision > afterRevision,
    );
    return Ok({changes, ...this.#position});
  }

  override async readRevision(
    mayBeOld = true,
  ): Promise<Result<StorePosition, RecordStoreError>> {
    this.#count('read-revision');
    const isUnread =
      this.fault === 'down' ||
      this.fault === 'swallowing' ||
      this.fault === 'no-revisions';
    if (isUnread) {
      return Err(UNAVAILABLE);
    }
    const {era, revision} = mayBeOld ? this.#readOld() : this.#position;
    return Ok({era, revision});
  }

  override async put(
    key: string,
    value: Buffer,
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>> {
    if (this.fault === 'down') {
      return Err(UNAVAILABLE);
    }
    if (this.fault === 'slow-writes') {
      await sleep(SLOW_WRITE_MS);
    }
    if (!this.#leases.has(lease.id)) {
      return Err({kind: 'no-lease', message: 'ended'});
    }
    this.set(key, value.toString('utf8'));
    this.#leases.get(lease.id)?.push(key);
    return Ok(undefined);
  }

  override async grantLease(
    lifetimeMs: number,
  ): Promise<Result<RecordLease, RecordStoreError>> {
    if (this.fault === 'down') {
      return Err(UNAVAILABLE);
    }
    this.#lastLease += 1;
    this.#leases.set(this.#lastLease, []);
    return Ok({id: this.#lastLease, lifetimeMs, era: this.eras.current});
  }

  override async keepLease(
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>> {
    if (this.fault === 'down') {
      return Err(UNAVAILABLE);
    }
    return this.#leases.has(lease.id)
      ? Ok(undefined)
      : Err({kind: 'no-lease', message: 'ended'});
  }

  override async endLease(
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>> {
    if (this.fault === 'down') {
      return Err(UNAVAILABLE);
    }
    for (const key of this.#leases.get(lease.id) ?? []) {
      this.set(key, undefined);
    }
    this.#leases.delete(lease.id);
    return Ok(undefined);
  }

  override async close(): Promise<void> {}

  /** The records as they stood `staleMs` ago. */
  #readOld(): RecordChanges {
    const latestMs = performance.now() - this.staleMs;
    const known = this.#events.filter(({atMs}) => atMs <= latestMs);
    const records = new Map(known.map(change => [change.key, change]));
    const changes = [...records.values()].filter(({value}) => value);
    const revision = known.at(-1)?.revision ?? 1;
    return {changes, revision, era: this.eras.current};
  }

  /** The revision of a record in a complete read. */
  #revisionOf(key: string): number {
    const changedAt = this.#revisions.get(key) ?? this.#revision;
    return this.namesRevisions
      ? Math.min(changedAt, this.#revision)
      : this.#revision;
  }

  get #position(): StorePosition {
    const era = this.eras.onAnswer(this.#era ?? 'none', this.eras.current);
    return {era, revision: this.#revision};
  }

  #hasNews(afterRevision: number): boolean {
    return this.#events.some(({revision}) => revision > afterRevision);
  }

  /** Waits until something changes, the time is over or the caller gives up. */
  #wait(waitMs: number, signal: AbortSignal, isSilent: boolean): Promise<void> {
    return new Promise(resolve => {
      const end = () => {
        clearTimeout(timer);
        this.#waiting.delete(end);
        resolve();
      };
      const timer = setTimeout(end, waitMs);
      signal.addEventListener('abort', end);
      if (!isSilent) {
        this.#waiting.add(end);
      }
    });
  }

  #count(call: string): void {
    this.calls.set(call, (this.calls.get(call) ?? 0) + 1);
  }
}
