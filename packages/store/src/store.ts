/** The platform's key-value store, as the rest of the system uses it. */

import type {Result} from '@wasabidyke/shared';

/** Why a call to the store gave no answer that can be used. */
export type StoreErrorKind =
  /** Nothing reached the store; the call had no effect. */
  | 'unreachable'
  /** The call was sent; whether it took effect is not known. For a read, merely that its answer was lost. */
  | 'unknown-outcome'
  /** The store answered that it refuses the call. */
  | 'refused'
  /** The store answered something that cannot be read; whether a write took effect is not known. */
  | 'malformed'
  /** The limit on calls was reached; the call was not sent. */
  | 'rate-limited';

/** A failed call to the store. */
export interface StoreError {
  readonly kind: StoreErrorKind;
  readonly message: string;
}

/** A value together with its version. */
export interface StoreValue {
  readonly key: string;
  readonly value: string;
  /** Rises with each write to the key, also over its deletion; 0 stands for an absent key. */
  readonly version: number;
}

/** The answer to a compare-and-swap. */
export interface SwapAnswer {
  readonly isSwapped: boolean;
  /** What stands at the key now, where the store told; undefined when absent. */
  readonly present: StoreValue | undefined;
}

/** A lease: keys bound to it vanish when it lapses. */
export interface Lease {
  readonly id: string;
  /** Seconds that the store keeps it after a renewal. */
  readonly timeToLiveSeconds: number;
}

/** Ends a watch. */
export interface Watch {
  close(): void;
}

/** Told of what a watch sees. */
export interface WatchListener {
  /** The watch stands: what is read from now on misses no change. */
  onStart(): void;
  /** The key has this value now; undefined when it was deleted. */
  onValue(value: StoreValue | undefined): void;
  /** The watch ended; the watcher must read the key and watch anew. */
  onEnd(error: StoreError): void;
}

/** Parameters of a compare-and-swap. */
export interface SwapOptions {
  readonly key: string;
  /** The version that must stand at the key; 0 when it must be absent. */
  readonly expectedVersion: number;
  readonly value: string;
  /** Lease to bind the key to. */
  readonly lease?: Lease;
}

/** A small key-value store with compare-and-swap, leases and watches. Every call has a deadline. */
export abstract class Store {
  /** Reads a key; undefined when it is absent. */
  abstract read(
    key: string,
  ): Promise<Result<StoreValue | undefined, StoreError>>;

  /** Writes a value where the expected version still stands. */
  abstract compareAndSwap(
    options: SwapOptions,
  ): Promise<Result<SwapAnswer, StoreError>>;

  /** Asks for a lease. */
  abstract grantLease(
    timeToLiveSeconds: number,
  ): Promise<Result<Lease, StoreError>>;

  /** Renews a lease. Answers whether it still stood. */
  abstract keepLeaseAlive(lease: Lease): Promise<Result<boolean, StoreError>>;

  /** Gives a lease back; its keys vanish. */
  abstract revokeLease(lease: Lease): Promise<Result<boolean, StoreError>>;

  /** Watches a key from its next change on. */
  abstract watch(key: string, listener: WatchListener): Watch;

  /** Ends all calls and connections. */
  abstract close(): Promise<void>;
}
