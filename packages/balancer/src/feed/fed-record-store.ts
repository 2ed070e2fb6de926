/**
 * A store whose changes come from an older entry where there is one, so that
 * the oldest of all reads the store, the oldest of each availability zone
 * follows that one, and the rest follow within their zone. An entry whose
 * feeders fail, are silent or know only what is old reads the store itself,
 * and tries a feeder again after a while.
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
  /** The entries that may feed this one, best first; none where it reads the store itself. */
  readonly feeders: () => readonly EntryRecord[];
  /** Whether no entry at all is announced yet. */
  readonly isFirst: () => boolean;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** Wait of one question to a feeder, in milliseconds. Source: two of them in a chain, and the time between reads of the revision, stay within the age up to which entries feed. */
const FEED_WAIT_MS = 500;

/** Time beyond its wait for the answer of a feeder, in milliseconds. */
const FEED_MARGIN_MS = 250;

/** Time to open a connection to a feeder, in milliseconds: several round trips between regions. */
const CONNECT_TIMEOUT_MS = 200;

/** Shortest time for which the store is read directly after a feeder failed, in milliseconds, and the random part beside it. */
const DIRECT_MS = 1_000;
const DIRECT_SPREAD_MS = 1_000;

/** Time for which a feeder that failed isn't asked, in milliseconds. */
const AVOID_MS = 8_000;

/** Time after its start in which an entry that knows no other one polls, in milliseconds. */
const FIRST_START_MS = 15_000;

/** Time after its start in which an entry whose feeders don't answer yet polls, in milliseconds: after a restart of all, they do within it. */
const START_MS = 1_500;

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
  #source: string | undefined;
  #readAtMs = -Infinity;
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

  /** Time since the store itself told that nothing is missing, in milliseconds, over all entries in between. */
  get ageMs(): number {
    return this.#options.clock.now() - this.#readAtMs;
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
    const read = await this.#options.store.readAll(mayBeOld);
    return mayBeOld ? read : this.#noteAnswer(read);
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
        this.#noteSource(feeder.name);
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
    this.#noteSource(undefined);
    if (this.#isStarting) {
      return this.#poll(afterRevision);
    }
    const limitMs = Math.min(waitMs, this.#directLeftMs());
    return this.#noteAnswer(
      await this.#options.store.watch(afterRevision, limitMs, signal),
    );
  }

  /** @param feeder Name of the entry that changes come from now; undefined for the store. */
  #noteSource(feeder: string | undefined): void {
    this.#isDirect = feeder === undefined;
    if (feeder !== this.#source) {
      this.#source = feeder;
      this.#options.log.record('records.source', {feeder: feeder ?? 'store'});
    }
  }

  /** When all entries start together, all would watch until there are feeders that answer. */
  get #isStarting(): boolean {
    const {clock, feeders, isFirst} = this.#options;
    const ageMs = clock.now() - this.#createdAtMs;
    if (isFirst()) {
      return ageMs < FIRST_START_MS;
    }
    return feeders().length > 0 && ageMs < START_MS;
  }

  #noteAnswer<Value>(
    result: Result<Value, RecordStoreError>,
  ): Result<Value, RecordStoreError> {
    if (result.isOk()) {
      this.#readAtMs = this.#options.clock.now();
    }
    return result;
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

  override async readRevision(): Promise<Result<number, RecordStoreError>> {
    return this.#noteAnswer(await this.#options.store.readRevision());
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
    return first?.feedAddress === undefined
      ? undefined
      : this.#connect(first.name, first.feedAddress);
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
      if (!parsed.success) {
        return unavailable(parsed.error.message);
      }
      this.#readAtMs = this.#options.clock.now() - parsed.data.ageMs;
      return Ok(readFeed(parsed.data));
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
