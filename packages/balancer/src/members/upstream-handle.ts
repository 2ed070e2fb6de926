/** One upstream as this entry uses it: its connections, and what is believed of it. */

import {
  UpstreamOutlook,
  type Distance,
  type FailureLevel,
} from '@wasabidyke/policy';
import {Backoff, type Clock} from '@wasabidyke/shared';
import {ConnectionPool} from '../exchange/connection-pool.js';
import {Exchange, type ExchangeResult} from '../exchange/exchange.js';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {UpstreamRecord} from './upstream-record.js';

/** What a handle needs. */
export interface UpstreamHandleOptions {
  readonly record: UpstreamRecord;
  readonly distance: Distance;
  readonly roundTripMs: number;
  readonly connectionLimit: number;
  /** Failures of the upstreams of its service that are as near. */
  readonly failureLevel: FailureLevel;
  readonly protocol: WireProtocol;
  readonly clock: Clock;
  /** Told when it leaves a load query unanswered, or can't be asked. */
  readonly onSilent: (record: UpstreamRecord, cause: string) => void;
}

/** Time beyond the round trip after which a load query counts as unanswered, in milliseconds: the upstream answers at once, the margin covers a busy link. */
const QUERY_MARGIN_MS = 60;

/** Time after which the connection of an unanswered load query is given up, in milliseconds: a late answer still tells the load, and a new connection costs more. */
const QUERY_LIMIT_MS = 1_000;

/** Shortest and longest pause after a load query failed, in milliseconds: one that comes back is found within the longest. */
const FIRST_PAUSE_MS = 300;
const LAST_PAUSE_MS = 2_000;

/** One upstream. */
export class UpstreamHandle {
  readonly outlook: UpstreamOutlook;
  readonly connections: ConnectionPool;
  readonly #options: UpstreamHandleOptions;
  #record: UpstreamRecord;
  #query: Promise<void> | undefined;
  #isOverdue = false;
  #askAfterMs = -Infinity;
  readonly #queryPause = new Backoff({
    minimumMs: FIRST_PAUSE_MS,
    maximumMs: LAST_PAUSE_MS,
  });
  #isLeaving = false;

  constructor(options: UpstreamHandleOptions) {
    const {record, distance, roundTripMs, connectionLimit} = options;
    this.#options = options;
    this.#record = record;
    this.outlook = new UpstreamOutlook(
      distance,
      roundTripMs,
      record.slots,
      options.failureLevel,
    );
    this.connections = new ConnectionPool(record.address, connectionLimit);
    this.applyRecord(record);
  }

  get id(): string {
    return this.#record.id;
  }

  get record(): UpstreamRecord {
    return this.#record;
  }

  /** Whether it must get no further requests. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  applyRecord(record: UpstreamRecord): void {
    this.#record = record;
    const nowMs = this.#options.clock.now();
    this.outlook.applyColdUntil(nowMs + record.warmUpLeftMs);
  }

  /** It gets no further requests; those under way go on. */
  leave(): void {
    this.#isLeaving = true;
    this.connections.close();
  }

  /** Whether a load query is likely to be answered soon: none is overdue, and none has just failed. */
  isWorthAsking(nowMs: number): boolean {
    return !this.#isOverdue && nowMs >= this.#askAfterMs;
  }

  /** Asks for its load. Resolves when it has answered, or was silent for too long; never rejects. */
  queryLoad(path: string): Promise<void> {
    this.#query ??= this.#runQuery(path).finally(() => {
      this.#query = undefined;
    });
    return this.#query;
  }

  async #runQuery(path: string): Promise<void> {
    const connection = this.connections.takeOldest();
    if (connection === undefined) {
      return;
    }
    const {protocol, record, roundTripMs} = this.#options;
    const exchange = new Exchange(
      connection,
      {method: 'GET', path, headers: {host: record.address}, body: null},
      (_status, headers) => {
        const isSame = protocol.readUpstreamId(headers) === this.id;
        return isSame ? 'answer' : 'other-upstream';
      },
    );
    let isOver = false;
    // After a pause of this process, timers fire before the answers that wait are read.
    const overdueTimer = setTimeout(
      () => setImmediate(() => isOver || this.#onOverdue()),
      roundTripMs + QUERY_MARGIN_MS,
    );
    const limitTimer = setTimeout(() => exchange.giveUp(), QUERY_LIMIT_MS);
    exchange.start();
    const result = await exchange.result;
    isOver = true;
    clearTimeout(overdueTimer);
    clearTimeout(limitTimer);
    this.#onQueryEnd(result);
    this.release(connection, exchange);
  }

  #onOverdue(): void {
    this.#isOverdue = true;
    this.#onSilence('overdue');
  }

  #onSilence(cause: string): void {
    const {clock, onSilent} = this.#options;
    this.outlook.onSilence(clock.now());
    onSilent(this.#record, cause);
  }

  #onQueryEnd(result: ExchangeResult): void {
    const {protocol, clock} = this.#options;
    const nowMs = clock.now();
    const isAnswered = result.kind === 'answered';
    if (isAnswered) {
      const occupancy = protocol.readOccupancy(result.answer.headers);
      if (occupancy !== undefined) {
        this.outlook.onReport(occupancy, nowMs);
      }
      this.#queryPause.reset();
    } else {
      this.#askAfterMs = nowMs + this.#queryPause.nextDelayMs();
      if (!this.#isOverdue && !this.#isLeaving) {
        this.#onSilence('message' in result ? result.message : result.kind);
      }
    }
    this.#isOverdue = false;
  }

  /** Gives a connection back after its exchange, or closes it. */
  release(
    connection: Parameters<ConnectionPool['give']>[0],
    exchange: Exchange,
  ): void {
    if (exchange.isClean && !this.#isLeaving) {
      this.connections.give(connection);
    } else {
      this.connections.discard(connection);
    }
  }
}
