/** One upstream as this entry uses it: its connections, and what is believed of it. */

import {UpstreamOutlook, type Distance} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import {ConnectionPool} from '../exchange/connection-pool.js';
import {Exchange} from '../exchange/exchange.js';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {UpstreamRecord} from './upstream-record.js';

/** What a handle needs. */
export interface UpstreamHandleOptions {
  readonly record: UpstreamRecord;
  readonly distance: Distance;
  readonly roundTripMs: number;
  readonly connectionLimit: number;
  readonly protocol: WireProtocol;
  readonly clock: Clock;
}

/** Time beyond the round trip that a load query may take, in milliseconds: the upstream answers at once, the margin covers a busy link. */
const QUERY_MARGIN_MS = 60;

/** One upstream. */
export class UpstreamHandle {
  readonly outlook: UpstreamOutlook;
  readonly connections: ConnectionPool;
  readonly #options: UpstreamHandleOptions;
  #record: UpstreamRecord;
  #query: Promise<void> | undefined;
  #isLeaving = false;

  constructor(options: UpstreamHandleOptions) {
    const {record, distance, roundTripMs, connectionLimit} = options;
    this.#options = options;
    this.#record = record;
    this.outlook = new UpstreamOutlook(distance, roundTripMs, record.slots);
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
    const {protocol, clock, record, roundTripMs} = this.#options;
    const exchange = new Exchange(
      connection,
      {method: 'GET', path, headers: {host: record.address}, body: null},
      (_status, headers) => {
        const isSame = protocol.readUpstreamId(headers) === this.id;
        return isSame ? 'answer' : 'other-upstream';
      },
    );
    const timer = setTimeout(
      () => exchange.giveUp(),
      roundTripMs + QUERY_MARGIN_MS,
    );
    exchange.start();
    const result = await exchange.result;
    clearTimeout(timer);
    if (result.kind === 'answered') {
      const occupancy = protocol.readOccupancy(result.answer.headers);
      if (occupancy !== undefined) {
        this.outlook.onReport(occupancy, clock.now());
      }
    } else {
      this.outlook.onSilence(clock.now());
    }
    this.release(connection, exchange);
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
