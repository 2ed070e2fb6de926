/** An upstream as this entry uses it: its connections and its estimated state. */

import {
  UpstreamStatistics,
  type Distance,
  type GroupFailureShare,
  type RequestLimit,
  type RestPeriod,
  type RoundTripEstimate,
  type ServiceReach,
} from '@wasabidyke/policy';
import {Backoff, type Clock} from '@wasabidyke/shared';
import type {IncomingHttpHeaders} from 'node:http';
import {
  ConnectionPool,
  type LossCause,
  type UpstreamConnection,
} from '../exchange/connection-pool.js';
import type {AnswerMemory} from '../exchange/answer-memory.js';
import {Exchange, type ExchangeResult} from '../exchange/exchange.js';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {UpstreamRecord} from './upstream-record.js';
import type {WarmUpTracker} from './warm-up-tracker.js';

/** Where a limit was named: in the answer to a request or to a load query, or by another entry. */
export type LimitSource = 'answer' | 'load-query' | 'entry';

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** Options of `UpstreamHandle`. */
export interface UpstreamHandleOptions {
  readonly record: UpstreamRecord;
  readonly distance: Distance;
  /** Round trip to the upstreams at its distance, learned from their answers. */
  readonly roundTrip: RoundTripEstimate;
  readonly connectionLimit: number;
  /** Failure share of the upstreams of its service in the same distance group. */
  readonly groupFailureShare: GroupFailureShare;
  /** What is known of the links to its service. */
  readonly reach: ServiceReach;
  readonly protocol: WireProtocol;
  readonly clock: Clock;
  readonly limit: RequestLimit;
  readonly warmUp: WarmUpTracker;
  readonly rest: RestPeriod;
  readonly answerMemory: AnswerMemory;
  /** Called when what is known of the limit has changed. */
  readonly onLimit: (source: LimitSource) => void;
  /** Called when the upstream has answered anything. */
  readonly onHeard: () => void;
  /** Called when a connection to the upstream ends that this entry didn't close. */
  readonly onConnectionLost: (cause: LossCause) => void;
  /** Called when the upstream says that it is leaving. */
  readonly onLeaving: (record: UpstreamRecord) => void;
  /** Called when the upstream asks for rest. */
  readonly onRest: (record: UpstreamRecord, restMs: number) => void;
  /** Called when a load query is not answered in time, or can't be sent. */
  readonly onUnresponsive: (record: UpstreamRecord, cause: string) => void;
}

/** Time beyond the round trip after which a load query is overdue, in milliseconds. Upstreams answer at once; the margin covers a busy link. */
const LOAD_QUERY_MARGIN_MS = 60;

/** Time after which an unanswered load query is aborted and its connection closed, in milliseconds. A late answer still reports the load, and a new connection costs more. */
const LOAD_QUERY_TIMEOUT_MS = 1_000;

/** Limit of the body of an answer to a load query, in bytes: the load is in its head. */
const MAXIMUM_LOAD_ANSWER_BYTES = 65_536;

/** Time in which no connection is opened after one that could not be, in milliseconds: the shortest pause after a failed load query. */
const OPEN_PAUSE_MS = 300;

/** Minimum and maximum pause after a failed load query, in milliseconds. An upstream that recovers is detected within the maximum. */
const MINIMUM_BACKOFF_MS = 300;
const MAXIMUM_BACKOFF_MS = 2_000;

/** Holds the connections, load queries and estimates of one upstream. */
export class UpstreamHandle {
  readonly statistics: UpstreamStatistics;
  readonly connections: ConnectionPool;
  readonly #options: UpstreamHandleOptions;
  #record: UpstreamRecord;
  #loadQuery: Promise<void> | undefined;
  #lifeCheck: Promise<boolean> | undefined;
  #isOverdue = false;
  /** When the last load query was sent. */
  #queriedAtMs = -Infinity;
  #nextQueryAtMs = -Infinity;
  /** No connection is opened before this time. */
  #opensAtMs = -Infinity;
  readonly #queryBackoff = new Backoff({
    minimumMs: MINIMUM_BACKOFF_MS,
    maximumMs: MAXIMUM_BACKOFF_MS,
  });
  #isDraining = false;
  #heardAtMs = -Infinity;

  constructor(options: UpstreamHandleOptions) {
    const {record, distance, roundTrip, connectionLimit} = options;
    this.#options = options;
    this.#record = record;
    this.statistics = new UpstreamStatistics(
      distance,
      roundTrip.roundTripMs,
      record.slots,
      options.groupFailureShare,
      options.reach,
    );
    this.connections = new ConnectionPool(
      record.address,
      connectionLimit,
      options.onConnectionLost,
    );
    this.applyRecord(record);
  }

  get id(): string {
    return this.#record.id;
  }

  get record(): UpstreamRecord {
    return this.#record;
  }

  /** When the upstream last answered anything, on the monotonic clock in milliseconds. */
  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  /** Memory for answers, shared with the other upstreams. */
  get answerMemory(): AnswerMemory {
    return this.#options.answerMemory;
  }

  /** The limit that the upstream names. */
  get limit(): RequestLimit {
    return this.#options.limit;
  }

  /** Whether the upstream asked for rest, so that nothing is sent to it. */
  isResting(nowMs: number): boolean {
    return this.#options.rest.isResting(nowMs);
  }

  /** Time until its rest is over, in milliseconds. */
  restRemainingMs(nowMs: number): number {
    return this.#options.rest.remainingMs(nowMs);
  }

  /** Takes what an answer says of the upstream. */
  readAnswer(
    {status, headers}: AnswerHead,
    source: 'answer' | 'load-query',
  ): void {
    const {protocol, clock, rest, onRest, onLeaving} = this.#options;
    this.#onHeard();
    this.#readLimit(headers, source);
    if (!this.#isDraining && protocol.isLeaving(headers)) {
      onLeaving(this.#record);
    }
    const restMs = protocol.readRestMs(status, headers);
    if (rest.begin(restMs, clock.now())) {
      onRest(this.#record, restMs);
    }
  }

  /** Takes the limit from the headers of an answer. Only the answer to a request ends one. */
  #readLimit(headers: IncomingHttpHeaders, source: LimitSource): void {
    const {protocol, clock} = this.#options;
    const named = protocol.readLimit(headers);
    const isUnsaid = named === 'none' && source === 'load-query';
    if (named !== 'unreadable' && !isUnsaid) {
      const requestsPerSecond = named === 'none' ? undefined : named;
      this.observeLimit(requestsPerSecond, clock.now(), source);
    }
  }

  /** Takes what the upstream said of its limit at a time, on the monotonic clock in milliseconds. */
  observeLimit(
    requestsPerSecond: number | undefined,
    observedAtMs: number,
    source: LimitSource,
  ): void {
    const {limit, clock, onLimit} = this.#options;
    const observation = {requestsPerSecond, observedAtMs};
    if (limit.observe(observation, clock.now())) {
      onLimit(source);
    }
  }

  /** Whether the upstream gets no new requests. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  applyRecord(record: UpstreamRecord): void {
    this.#record = record;
    const {clock, warmUp} = this.#options;
    warmUp.onRecord(record);
    const endsAtMs = clock.now() + record.warmUpLeftMs;
    this.statistics.setWarmUpEnd(
      warmUp.warmUp.isConfigured ? warmUp.warmUp.endsAtMs : endsAtMs,
    );
  }

  /** What is known of the upstream's warm-up. */
  get warmUp(): WarmUpTracker {
    return this.#options.warmUp;
  }

  /** Stops new requests; those in flight continue. */
  drain(): void {
    this.#isDraining = true;
    this.connections.close();
  }

  /** Whether a request has a connection to be sent on: an idle one, or one that is likely to be opened. */
  hasConnection(nowMs: number): boolean {
    const {idleCount, isFull} = this.connections;
    return idleCount > 0 || (!isFull && nowMs >= this.#opensAtMs);
  }

  /** Called when a connection could not be opened. */
  onConnectFailure(): void {
    const nowMs = this.#options.clock.now();
    this.#opensAtMs = nowMs + OPEN_PAUSE_MS;
    this.#options.warmUp.doubt('connection');
    this.statistics.onUnreachable(nowMs);
  }

  /** Whether a load query is likely to be answered soon: none is overdue, and none has failed recently. */
  isResponsive(nowMs: number): boolean {
    return (
      !this.#isOverdue && nowMs >= this.#nextQueryAtMs && !this.isResting(nowMs)
    );
  }

  /** Queries the load. Resolves on the answer or the timeout; never rejects. Concurrent calls share one query. */
  queryLoad(path: string): Promise<void> {
    this.#loadQuery ??= this.#runLoadQuery(path).finally(() => {
      this.#loadQuery = undefined;
    });
    return this.#loadQuery;
  }

  /**
   * Whether the process that this handle stands for runs: it answers a load
   * query on a new connection. Concurrent calls share one query. An upstream
   * that gets no new requests counts as running, since its end is expected,
   * and so does one that rests.
   */
  isAlive(path: string): Promise<boolean> {
    this.#lifeCheck ??= this.#checkLife(path).finally(() => {
      this.#lifeCheck = undefined;
    });
    return this.#lifeCheck;
  }

  async #checkLife(path: string): Promise<boolean> {
    const connection = this.isResting(this.#options.clock.now())
      ? undefined
      : this.connections.openExtra();
    if (connection === undefined) {
      return true;
    }
    const exchange = this.#createLoadQuery(connection, path);
    const timer = setTimeout(() => exchange.abort(), LOAD_QUERY_TIMEOUT_MS);
    const askedAtMs = this.#options.clock.now();
    exchange.start();
    const result = await exchange.result;
    clearTimeout(timer);
    this.release(connection, exchange);
    if (result.kind === 'answered') {
      this.#onHeard();
      this.#readWarmUp(result.answer, askedAtMs);
    }
    return result.kind === 'answered';
  }

  #onHeard(): void {
    this.#heardAtMs = this.#options.clock.now();
    this.#options.onHeard();
  }

  #createLoadQuery(connection: UpstreamConnection, path: string): Exchange {
    const {protocol, record} = this.#options;
    return new Exchange(
      connection,
      {method: 'GET', path, headers: {host: record.address}, body: null},
      {
        classifyAnswer: (_status, headers) => {
          if (protocol.namesRequest(headers)) {
            return 'foreign';
          }
          const isSame = protocol.readUpstreamId(headers) === this.id;
          return isSame ? 'answer' : 'other-upstream';
        },
        memory: this.answerMemory,
        maximumBytes: MAXIMUM_LOAD_ANSWER_BYTES,
      },
    );
  }

  async #runLoadQuery(path: string): Promise<void> {
    const connection = this.connections.takeLongestIdle();
    if (connection === undefined) {
      return;
    }
    const {roundTrip, clock} = this.#options;
    const wasOpen = connection.isUsed;
    const startedAtMs = clock.now();
    this.#queriedAtMs = startedAtMs;
    const exchange = this.#createLoadQuery(connection, path);
    let isEnded = false;
    // After a pause of this process, timers fire before pending answers are read.
    const overdueTimer = setTimeout(
      () => setImmediate(() => isEnded || this.#onOverdue()),
      roundTrip.roundTripMs + LOAD_QUERY_MARGIN_MS,
    );
    const timeoutTimer = setTimeout(
      () => exchange.abort(),
      LOAD_QUERY_TIMEOUT_MS,
    );
    exchange.start();
    const result = await exchange.result;
    isEnded = true;
    if (wasOpen && result.kind === 'answered') {
      roundTrip.onAnswer(clock.now() - startedAtMs);
    }
    clearTimeout(overdueTimer);
    clearTimeout(timeoutTimer);
    this.#onLoadQueryEnd(result);
    this.release(connection, exchange);
  }

  #onOverdue(): void {
    this.#isOverdue = true;
    this.#onUnresponsive('overdue');
  }

  #onUnresponsive(cause: string): void {
    const {clock, onUnresponsive, warmUp} = this.#options;
    this.statistics.onUnresponsive(clock.now());
    // A late answer to the same query ends the doubt.
    warmUp.doubt('unanswered', this.#queriedAtMs);
    onUnresponsive(this.#record, cause);
  }

  #onLoadQueryEnd(result: ExchangeResult): void {
    const {protocol, clock} = this.#options;
    const nowMs = clock.now();
    const isAnswered = result.kind === 'answered';
    if (isAnswered) {
      this.readAnswer(result.answer, 'load-query');
      this.#readWarmUp(result.answer, this.#queriedAtMs);
      const occupancy = protocol.readOccupancy(result.answer.headers);
      if (occupancy !== undefined) {
        this.statistics.onReport(occupancy, nowMs);
      }
      this.#queryBackoff.reset();
    } else {
      this.#nextQueryAtMs = nowMs + this.#queryBackoff.nextDelayMs();
      if (result.kind === 'not-sent' || result.kind === 'broken') {
        this.#options.warmUp.doubt('connection');
      }
      if (!this.#isOverdue && !this.#isDraining) {
        this.#onUnresponsive(
          'message' in result ? result.message : result.kind,
        );
      }
      if (!this.#isDraining && result.kind !== 'other-upstream') {
        this.statistics.onUnreachable(nowMs);
      }
    }
    this.#isOverdue = false;
  }

  #readWarmUp(answer: AnswerHead, askedAtMs: number): void {
    const {warmUp} = this.#options;
    warmUp.onLoadAnswer(answer, askedAtMs);
    if (warmUp.warmUp.isConfigured) {
      this.statistics.setWarmUpEnd(warmUp.warmUp.endsAtMs);
    }
  }

  /** Returns a connection to the pool after its exchange, or closes it if it is not reusable. */
  release(connection: UpstreamConnection, exchange: Exchange): void {
    if (exchange.isConnectionReusable && !this.#isDraining) {
      this.connections.release(connection);
    } else {
      this.connections.discard(connection);
    }
  }
}
