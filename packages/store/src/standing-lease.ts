/**
 * A lease as its holder may count on it. The holder judges by its own
 * monotonic clock and counts from before each request, as in Gray and
 * Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
 * File Cache Consistency", 1989: it lets go before the store does, however
 * late it learns of it.
 */

import {SECOND_MS, type Clock, type Result} from '@wasabidyke/shared';
import type {Lease, Store, StoreError} from './store.js';

/** What a lease needs. */
export interface StandingLeaseOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly timeToLiveSeconds: number;
  /** Taken off the time to live, for clocks that run at different rates, in milliseconds. */
  readonly marginMs: number;
}

/** A lease that was granted, and until when it certainly stands. */
export class StandingLease {
  readonly lease: Lease;
  readonly #options: StandingLeaseOptions;
  #standsUntilMs: number;

  private constructor(
    lease: Lease,
    options: StandingLeaseOptions,
    sentMs: number,
  ) {
    this.lease = lease;
    this.#options = options;
    this.#standsUntilMs = this.#countFrom(sentMs);
  }

  /** Asks the store for a lease; undefined where it gave none. */
  static async grant(
    options: StandingLeaseOptions,
  ): Promise<StandingLease | undefined> {
    const sentMs = options.clock.now();
    const granted = await options.store.grantLease(options.timeToLiveSeconds);
    return granted.isOk()
      ? new StandingLease(granted.value, options, sentMs)
      : undefined;
  }

  /** Whether it certainly stands at `nowMs` of the monotonic clock. */
  standsAt(nowMs: number): boolean {
    return nowMs < this.#standsUntilMs;
  }

  /** Renews it. Answers whether it still stood at the store. */
  async renew(): Promise<Result<boolean, StoreError>> {
    const sentMs = this.#options.clock.now();
    const renewed = await this.#options.store.keepLeaseAlive(this.lease);
    if (renewed.isOk() && renewed.value) {
      this.#standsUntilMs = this.#countFrom(sentMs);
    }
    return renewed;
  }

  #countFrom(sentMs: number): number {
    const {timeToLiveSeconds, marginMs} = this.#options;
    const seconds = Math.min(timeToLiveSeconds, this.lease.timeToLiveSeconds);
    return sentMs + seconds * SECOND_MS - marginMs;
  }
}
