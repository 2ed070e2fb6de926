/** A store in this process's own memory, for a small site with one entry. What it holds ends with the process. */

import {Err, Ok, SECOND_MS, type Clock, type Result} from '@wasabidyke/shared';
import {
  Store,
  type Lease,
  type StoreError,
  type StoreValue,
  type SwapAnswer,
  type SwapOptions,
  type Watch,
  type WatchListener,
} from './store.js';

/** Most keys, leases and watches each that are held. */
const MAXIMUM_ENTRIES = 1_000;

interface HeldValue extends StoreValue {
  readonly leaseId: string | undefined;
}

interface HeldLease extends Lease {
  readonly lapsesAtMs: number;
}

interface HeldWatch {
  readonly key: string;
  readonly listener: WatchListener;
}

/** A store in memory. Leases lapse by the given clock, noticed at the next call. */
export class EmbeddedStore extends Store {
  readonly #clock: Clock;
  readonly #values = new Map<string, HeldValue>();
  readonly #leases = new Map<string, HeldLease>();
  readonly #watches = new Set<HeldWatch>();
  #revision = 0;
  #leaseCount = 0;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override async read(
    key: string,
  ): Promise<Result<StoreValue | undefined, StoreError>> {
    this.#dropLapsed();
    return Ok(this.#find(key));
  }

  override async compareAndSwap(
    options: SwapOptions,
  ): Promise<Result<SwapAnswer, StoreError>> {
    this.#dropLapsed();
    const {key, expectedVersion, value, lease} = options;
    if (lease !== undefined && !this.#leases.has(lease.id)) {
      return Err({kind: 'refused', message: 'the lease does not stand'});
    }
    const present = this.#find(key);
    if ((present?.version ?? 0) !== expectedVersion) {
      return Ok({isSwapped: false, present});
    }
    if (present === undefined && this.#values.size >= MAXIMUM_ENTRIES) {
      return Err({kind: 'refused', message: 'the store is full'});
    }
    this.#revision += 1;
    const held = {key, value, version: this.#revision, leaseId: lease?.id};
    this.#values.set(key, held);
    this.#notify(key);
    return Ok({isSwapped: true, present: this.#find(key)});
  }

  override async grantLease(
    timeToLiveSeconds: number,
  ): Promise<Result<Lease, StoreError>> {
    this.#dropLapsed();
    if (this.#leases.size >= MAXIMUM_ENTRIES) {
      return Err({kind: 'refused', message: 'too many leases'});
    }
    this.#leaseCount += 1;
    const lease = {id: String(this.#leaseCount), timeToLiveSeconds};
    this.#renew(lease);
    return Ok(lease);
  }

  override async keepLeaseAlive(
    lease: Lease,
  ): Promise<Result<boolean, StoreError>> {
    this.#dropLapsed();
    const held = this.#leases.get(lease.id);
    if (held !== undefined) {
      this.#renew(held);
    }
    return Ok(held !== undefined);
  }

  override async revokeLease(
    lease: Lease,
  ): Promise<Result<boolean, StoreError>> {
    this.#dropLapsed();
    return Ok(this.#dropLease(lease.id));
  }

  override watch(key: string, listener: WatchListener): Watch {
    if (this.#watches.size >= MAXIMUM_ENTRIES) {
      const error = {kind: 'refused', message: 'too many watches'} as const;
      queueMicrotask(() => listener.onEnd(error));
      return {close: () => {}};
    }
    const watch = {key, listener};
    this.#watches.add(watch);
    queueMicrotask(() => {
      if (this.#watches.has(watch)) {
        listener.onStart();
      }
    });
    return {close: () => this.#watches.delete(watch)};
  }

  override async close(): Promise<void> {
    this.#watches.clear();
  }

  #find(key: string): StoreValue | undefined {
    const held = this.#values.get(key);
    return held && {key, value: held.value, version: held.version};
  }

  #renew({id, timeToLiveSeconds}: Lease): void {
    const lapsesAtMs = this.#clock.now() + timeToLiveSeconds * SECOND_MS;
    this.#leases.set(id, {id, timeToLiveSeconds, lapsesAtMs});
  }

  #dropLapsed(): void {
    const nowMs = this.#clock.now();
    for (const {id, lapsesAtMs} of [...this.#leases.values()]) {
      if (lapsesAtMs <= nowMs) {
        this.#dropLease(id);
      }
    }
  }

  #dropLease(id: string): boolean {
    for (const {key, leaseId} of [...this.#values.values()]) {
      if (leaseId === id) {
        this.#revision += 1;
        this.#values.delete(key);
        this.#notify(key);
      }
    }
    return this.#leases.delete(id);
  }

  #notify(key: string): void {
    const present = this.#find(key);
    for (const {listener} of [...this.#watches].filter(
      watch => watch.key === key,
    )) {
      queueMicrotask(() => listener.onValue(present));
    }
  }
}
