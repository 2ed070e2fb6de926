/**
 * A store whose changes come from another entry of the availability zone where
 * there is one that reads the store itself. The oldest entry does; an entry
 * whose feeder fails or is silent reads the store itself at once, and
 * tries a feeder again after a while.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from '@wasabidyke/policy';
import {Err, Ok, type Clock, type Result} from '@wasabidyke/shared';
import {Pool} from 'undici';
import type {EntryRecord} from '../members/entry-record.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import {
  RecordStore,
  type RecordChanges,
  type RecordLease,
  type RecordStoreError,
} from '../store/record-store.js';
import {FEED_PATH, feedSchema, readFeed} from './feed-messages.js';

/** What the store needs. */
export interface FedRecordStoreOptions {
  readonly store: RecordStore;
  /** The entries of this availability zone in the order in which they feed, this one included once it is announced. */
  readonly feeders: () => readonly EntryRecord[];
  /** Name of this entry. */
  readonly self: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** Wait of one question to a feeder, in milliseconds. Source: a silent one must be found within half of the shortest bound on draining. */
const FEED_WAIT_MS = 600;

/** Time beyond its wait for the answer of a feeder, in milliseconds. */
const FEED_MARGIN_MS = 250;

/** Time to open a connection within the availability zone, in milliseconds. */
const CONNECT_TIMEOUT_MS = 200;

/** Shortest time for which the store is read directly after a feeder failed, in milliseconds, and the random part beside it. */
const DIRECT_MS = 3_000;
const DIRECT_SPREAD_MS = 2_000;

/** Time for which a feeder that failed isn't asked, in milliseconds. */
const AVOID_MS = 8_000;

/** Time after its start in which an entry that knows no other one polls, in milliseconds. */
const START_MS = 15_000;

/** Time between polls, in milliseconds: ten of them cost as much as one watch. */
const POLL_PERIOD_MS = 700;

/** Feeders that are asked for one change. */
const FEEDER_TRIES = 2;

/** A feeder that fails within this time, in milliseconds, leaves time to ask another one. */
const QUICK_FAILURE_MS = 200;

/** The feeder no longer keeps what was asked for. */
const HISTORY_LOST_STATUS = 410;

interface Feeder {
  readonly name: string;
  readonly pool: Pool;
}

/** A store whose changes come from another entry where possible. */
export class FedRecordStore extends RecordStore {
  readonly #options: FedRecordStoreOptions;
  readonly #avoidedUntilMs = new Map<string, number>();
  #feeder: Feeder | undefined;
  #directUntilMs = -Infinity;
  #isDirect = true;
  readonly #createdAtMs: number;

  constructor(options: FedRecordStoreOptions) {
    super();
    this.#options = options;
    this.#createdAtMs = options.clock.now();
  }

  /** Whether this entry reads the store itself. */
  get isDirect(): boolean {
    return this.#isDirect;
  }

  override async readAll(
    mayBeOld: boolean,
  ): Promise<Result<RecordChanges, RecordStoreError>> {
    const feeder = this.#chooseFeeder();
    if (feeder !== undefined) {
      const fed = await this.#ask(feeder, FEED_PATH, FEED_MARGIN_MS);
      if (fed.isOk()) {
        return fed;
      }
      this.#onFailure(feeder, fed.error);
    }
    this.#isDirect = true;
    return this.#options.store.readAll(mayBeOld);
  }

  override async watch(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RecordChanges, RecordStoreError>> {
    for (let tries = 0; tries < FEEDER_TRIES; tries++) {
      const feeder = this.#chooseFeeder();
      if (feeder === undefined) {
        break;
      }
      const startedAtMs = this.#options.clock.now();
      const fed = await this.#follow(feeder, afterRevision);
      if (fed.isOk() || fed.error.kind === 'history-lost') {
        this.#isDirect = false;
        return fed;
      }
      this.#onFailure(feeder, fed.error);
      const tookMs = this.#options.clock.now() - startedAtMs;
      if (tookMs > QUICK_FAILURE_MS) {
        this.#readDirectly();
      }
    }
    if (this.#chooseFeeder() !== undefined) {
      this.#readDirectly();
    }
    this.#isDirect = true;
    if (this.#isStarting) {
      return this.#poll(afterRevision);
    }
    const limitMs = Math.min(waitMs, this.#directLeftMs());
    return this.#options.store.watch(afterRevision, limitMs, signal);
  }

  /** Until entries are announced, at the start of the whole system, all would watch at once. */
  get #isStarting(): boolean {
    const ageMs = this.#options.clock.now() - this.#createdAtMs;
    return ageMs < START_MS && this.#options.feeders().length === 0;
  }

  /** Reads records that may be old. The revision stays, so that a later watch tells of deletions too. */
  async #poll(
    afterRevision: number,
  ): Promise<Result<RecordChanges, RecordStoreError>> {
    await sleep(POLL_PERIOD_MS);
    const read = await this.#options.store.readAll(true);
    return read.map(({changes}) => ({
      changes: changes.filter(({revision}) => revision > afterRevision),
      revision: afterRevision,
    }));
  }

  /** Questions to a feeder cost nothing, and a poll next to nothing. */
  override get isPaidFor(): boolean {
    return this.#isDirect && !this.#isStarting;
  }

  /** While a feeder is followed, its silence is found by the questions to it. */
  override async readRevision(): Promise<Result<number, RecordStoreError>> {
    return this.#isDirect ? this.#options.store.readRevision() : Ok(0);
  }

  override put(
    key: string,
    value: Buffer,
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>> {
    return this.#options.store.put(key, value, lease);
  }

  override grantLease(
    lifetimeMs: number,
  ): Promise<Result<RecordLease, RecordStoreError>> {
    return this.#options.store.grantLease(lifetimeMs);
  }

  override keepLease(
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>> {
    return this.#options.store.keepLease(lease);
  }

  override endLease(
    lease: RecordLease,
  ): Promise<Result<void, RecordStoreError>> {
    return this.#options.store.endLease(lease);
  }

  override async close(): Promise<void> {
    await this.#feeder?.pool.destroy();
    await this.#options.store.close();
  }

  /** The entry to follow; undefined when this one reads the store itself. */
  #chooseFeeder(): Feeder | undefined {
    const nowMs = this.#options.clock.now();
    if (nowMs < this.#directUntilMs) {
      return undefined;
    }
    const first = this.#options
      .feeders()
      .find(({name}) => (this.#avoidedUntilMs.get(name) ?? 0) <= nowMs);
    const address = first?.feedAddress;
    if (
      first === undefined ||
      first.name === this.#options.self ||
      address === undefined
    ) {
      return undefined;
    }
    return this.#connect(first.name, address);
  }

  /** How long the store is still read directly though there may be a feeder; infinite when none is awaited. */
  #directLeftMs(): number {
    const leftMs = this.#directUntilMs - this.#options.clock.now();
    return leftMs > 0 ? Math.ceil(leftMs) : Infinity;
  }

  #connect(name: string, address: string): Feeder {
    if (this.#feeder?.name === name) {
      return this.#feeder;
    }
    this.#feeder?.pool.destroy().catch(() => {});
    const pool = new Pool(`http://${address}`, {
      connections: 1,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
    this.#feeder = {name, pool};
    return this.#feeder;
  }

  #follow(
    feeder: Feeder,
    afterRevision: number,
  ): Promise<Result<RecordChanges, RecordStoreError>> {
    const path = `${FEED_PATH}?after=${afterRevision}&waitMs=${FEED_WAIT_MS}`;
    return this.#ask(feeder, path, FEED_WAIT_MS + FEED_MARGIN_MS);
  }

  async #ask(
    {pool}: Feeder,
    path: string,
    timeoutMs: number,
  ): Promise<Result<RecordChanges, RecordStoreError>> {
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const answer = await pool.request({method: 'GET', path, signal});
      const text = await answer.body.text();
      if (answer.statusCode === HISTORY_LOST_STATUS) {
        return Err({kind: 'history-lost', message: 'not kept by the feeder'});
      }
      if (answer.statusCode !== 200) {
        return unavailable(`status ${answer.statusCode}`);
      }
      const parsed = feedSchema.safeParse(JSON.parse(text));
      return parsed.success
        ? Ok(readFeed(parsed.data))
        : unavailable(parsed.error.message);
    } catch (error) {
      return unavailable(String(error));
    }
  }

  #onFailure(feeder: Feeder, error: RecordStoreError): void {
    const nowMs = this.#options.clock.now();
    this.#avoidedUntilMs.set(feeder.name, nowMs + AVOID_MS);
    // Questions under way end with the failure that is told here.
    feeder.pool.destroy().catch(() => {});
    this.#feeder = undefined;
    this.#options.log.record('feeder.lost', {
      feeder: feeder.name,
      cause: error.message,
    });
  }

  /** Reads the store directly for a while. */
  #readDirectly(): void {
    const spreadMs = this.#options.random.nextBelow(DIRECT_SPREAD_MS);
    const nowMs = this.#options.clock.now();
    this.#directUntilMs = nowMs + DIRECT_MS + spreadMs;
  }
}

function unavailable(message: string): Result<never, RecordStoreError> {
  return Err({kind: 'unavailable', message});
}
