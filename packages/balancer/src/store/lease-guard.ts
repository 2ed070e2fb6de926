/**
 * Calls on leases that keep to the era in which a lease was granted: in a later
 * one, another entry may hold its id.
 */

import {Err, type Result} from '@wasabidyke/shared';
import type {
  RecordLease,
  RecordStore,
  RecordStoreError,
} from './record-store.js';

const LEASE_OF_EARLIER_ERA = Err({
  kind: 'no-lease',
  message: 'the lease was granted in an earlier era of the store',
} as const);

type Done = Promise<Result<void, RecordStoreError>>;

/** Uses leases of the current era only. */
export class LeaseGuard {
  readonly #store: RecordStore;

  constructor(store: RecordStore) {
    this.#store = store;
  }

  /** Writes a record under a lease. */
  async put(key: string, value: Buffer, lease: RecordLease): Done {
    if (!this.#isOfEra(lease)) {
      return LEASE_OF_EARLIER_ERA;
    }
    const written = await this.#store.put(key, value, lease);
    return this.#isOfEra(lease) ? written : LEASE_OF_EARLIER_ERA;
  }

  /** Renews a lease. */
  async keep(lease: RecordLease): Done {
    if (this.#store.eras.isDoubtful) {
      // A failure shows in the call that follows.
      await this.#readEra();
    }
    if (!this.#isOfEra(lease)) {
      return LEASE_OF_EARLIER_ERA;
    }
    const kept = await this.#store.keepLease(lease);
    return this.#isOfEra(lease) ? kept : LEASE_OF_EARLIER_ERA;
  }

  /** Ends a lease, once the store has told its era: records of another entry would be deleted with it. */
  async end(lease: RecordLease): Done {
    const read = await this.#readEra();
    if (read.isErr()) {
      return Err(read.error);
    }
    return this.#isOfEra(lease)
      ? this.#store.endLease(lease)
      : LEASE_OF_EARLIER_ERA;
  }

  #readEra() {
    return this.#store.readRevision(true);
  }

  #isOfEra(lease: RecordLease): boolean {
    return lease.era === this.#store.eras.current;
  }
}
