/** Selects the entry that feeds this one, and leaves out those that failed lately. */

import type {RandomSource} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {EntryRecord} from '../members/entry-record.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {RecordStoreError} from '../store/record-store.js';
import {FeederConnection} from './feeder-connection.js';

/** Options of `FeederSelection`. */
export interface FeederSelectionOptions {
  /** Entries that may feed this one, best first; empty when this entry has to read the store itself. */
  readonly feeders: () => readonly EntryRecord[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** Minimum time for which the store is read directly after a feeder failed, and the jitter added to it, in milliseconds. */
const MINIMUM_DIRECT_MS = 1_000;
const DIRECT_JITTER_MS = 1_000;

/** Time for which a feeder is not used after a failure, in milliseconds. */
const FEEDER_COOLDOWN_MS = 8_000;

/** Keeps the connection to the feeder. */
export class FeederSelection {
  readonly #options: FeederSelectionOptions;
  readonly #cooldownEndsAtMs = new Map<string, number>();
  #feeder: FeederConnection | undefined;
  #directEndsAtMs = -Infinity;

  constructor(options: FeederSelectionOptions) {
    this.#options = options;
  }

  /** Returns the feeder to follow, or undefined when this entry reads the store itself. */
  select(): FeederConnection | undefined {
    const nowMs = this.#options.clock.now();
    if (nowMs < this.#directEndsAtMs) {
      return undefined;
    }
    const first = this.#options
      .feeders()
      .find(({name}) => (this.#cooldownEndsAtMs.get(name) ?? 0) <= nowMs);
    return first?.feedAddress === undefined
      ? undefined
      : this.#connect(first.name, first.feedAddress);
  }

  /** Remaining time of direct reads after a feeder failed, in milliseconds; infinite when no such time runs. */
  get remainingDirectMs(): number {
    const remainingMs = this.#directEndsAtMs - this.#options.clock.now();
    return remainingMs > 0 ? Math.ceil(remainingMs) : Infinity;
  }

  /** Has the store read directly for a time with jitter. */
  bypass(): void {
    const jitterMs = this.#options.random.nextBelow(DIRECT_JITTER_MS);
    const nowMs = this.#options.clock.now();
    this.#directEndsAtMs = nowMs + MINIMUM_DIRECT_MS + jitterMs;
  }

  onFailure(feeder: FeederConnection, error: RecordStoreError): void {
    const nowMs = this.#options.clock.now();
    this.#cooldownEndsAtMs.set(feeder.name, nowMs + FEEDER_COOLDOWN_MS);
    // Requests in flight end with the failure that is logged here.
    feeder.close();
    this.#feeder = undefined;
    this.#options.log.record('feeder.lost', {
      feeder: feeder.name,
      cause: error.message,
    });
  }

  close(): void {
    this.#feeder?.close();
  }

  #connect(name: string, address: string): FeederConnection {
    if (this.#feeder?.name === name) {
      return this.#feeder;
    }
    this.#feeder?.close();
    this.#feeder = new FeederConnection(name, address, this.#options.clock);
    return this.#feeder;
  }
}
