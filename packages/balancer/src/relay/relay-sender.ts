/** Relays requests through other entries, which may reach upstreams that this entry doesn't. */

import type {IncomingHttpHeaders} from 'node:http';
import {
  RelayChoice,
  type Distance,
  type RandomSource,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {AnswerMemory} from '../exchange/answer-memory.js';
import {
  ConnectionPool,
  type UpstreamConnection,
} from '../exchange/connection-pool.js';
import {
  Exchange,
  type CompleteAnswer,
  type ExchangeResult,
} from '../exchange/exchange.js';
import type {EntryRecord} from '../members/entry-record.js';
import {distanceTo, type Locality} from '../members/upstream-registry.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import {isRegionAllowed} from '../routing/allowed-regions.js';
import {
  toRefusalReason,
  type RefusalReason,
  type RoutedRequest,
} from '../serving/routed-request.js';
import {
  classifyRelayAnswer,
  definedOf,
  IN_FLIGHT_HEADER,
  parseAnswer,
  REASON_HEADER,
  RELAY_PATH,
  RESULT_HEADER,
  RETRY_AFTER_HEADER,
  serializeRequest,
} from './relay-messages.js';

/** Options of `RelaySender`. */
export interface RelaySenderOptions {
  /** The other entries that take messages and are up. */
  readonly peers: () => readonly EntryRecord[];
  readonly locality: () => Locality;
  readonly memory: AnswerMemory;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** One send of a request to another entry. */
export interface RelayAttempt {
  readonly peer: string;
  readonly distance: Distance;
  readonly request: RoutedRequest;
  readonly pool: ConnectionPool;
  readonly connection: UpstreamConnection;
  readonly exchange: Exchange;
  readonly startedAtMs: number;
  readonly estimateMs: number;
}

/** What became of a relayed request. */
export type RelayOutcome =
  | {
      readonly kind: 'answered';
      readonly upstream: string;
      readonly answer: CompleteAnswer;
    }
  /** The entry has not sent it and doesn't reach the upstreams either. */
  | {readonly kind: 'unreached'}
  /** The entry refused it before it ran. */
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    }
  /** It may have run. */
  | {readonly kind: 'unknown'};

/** Maximum connections to one other entry: those of requests that are relayed at the same time. From 126 entries, they take half of the descriptors of one. */
const MAXIMUM_CONNECTIONS = 16;

/** An attempt that was given up after this many times its estimate counts against the entry: it may stand still. */
const SLOW_FACTOR = 3;

/** Maximum size of an answer's body, in bytes: that of an upstream's answer, and its headers. */
const MAXIMUM_ANSWER_BYTES = 17_039_360;

/** Reasons for which another entry may serve a request that one refused. */
const ELSEWHERE: ReadonlySet<RefusalReason> = new Set([
  'no-upstream',
  'unreached',
  'no-configuration',
  'other-configuration',
  'relays-full',
  'stopping',
]);

/** Keeps the connections to other entries, and what is known of them as relays. */
export class RelaySender {
  readonly #options: RelaySenderOptions;
  readonly #choice: RelayChoice;
  readonly #pools = new Map<string, ConnectionPool>();

  constructor(options: RelaySenderOptions) {
    this.#options = options;
    this.#choice = new RelayChoice(options.random);
  }

  /**
   * Sends a request to another entry; undefined if none is likely to serve it.
   * @param tried Entries that it was relayed to; the chosen one is added.
   * @param excluded Ids of upstreams that it was sent to.
   */
  send(
    request: RoutedRequest,
    workMs: number,
    tried: Set<string>,
    excluded: readonly string[],
  ): RelayAttempt | undefined {
    const {peers, clock, memory} = this.#options;
    const locality = this.#options.locality();
    const records = peers();
    this.#retain(records);
    const candidates = records
      .filter(({region}) => isRegionAllowed(request.allowedRegions, region))
      .filter(({feedAddress = ''}) => this.#hasConnection(feedAddress))
      .map(({name, zone}) => ({name, distance: distanceTo(zone, locality)}));
    const nowMs = clock.now();
    const {service} = request;
    const chosen = this.#choice.choose(service, candidates, tried, nowMs);
    const address = records.find(
      ({name}) => name === chosen?.name,
    )?.feedAddress;
    if (chosen === undefined || address === undefined) {
      return undefined;
    }
    tried.add(chosen.name);
    const pool = this.#poolOf(address);
    const connection = pool.take();
    if (connection === undefined) {
      return undefined;
    }
    const exchange = new Exchange(
      connection,
      this.#toMessage(request, excluded, nowMs),
      {
        classifyAnswer: classifyRelayAnswer,
        memory,
        maximumBytes: MAXIMUM_ANSWER_BYTES,
      },
    );
    this.#choice.onStart(chosen.name);
    exchange.start();
    return {
      peer: chosen.name,
      distance: chosen.distance,
      request,
      pool,
      connection,
      exchange,
      startedAtMs: nowMs,
      estimateMs: workMs + 2 * locality.roundTripsMs[chosen.distance],
    };
  }

  /** Called when an attempt has ended. */
  finish(attempt: RelayAttempt, result: ExchangeResult): RelayOutcome {
    const {peer, request, pool, connection, exchange} = attempt;
    if (exchange.isConnectionReusable) {
      pool.release(connection);
    } else {
      pool.discard(connection);
    }
    const outcome = toOutcome(result);
    const nowMs = this.#options.clock.now();
    this.#choice.onEnd(peer, readInFlight(result));
    const isSlow =
      result.kind === 'given-up' &&
      nowMs - attempt.startedAtMs > SLOW_FACTOR * attempt.estimateMs;
    if (outcome.kind === 'unreached' || result.kind === 'broken' || isSlow) {
      this.#choice.onFailed(
        request.service,
        {name: peer, distance: attempt.distance},
        nowMs,
      );
    } else if (outcome.kind === 'answered') {
      this.#choice.onServed(request.service, peer);
    }
    this.#options.log.record('request.relayed', {
      request: request.requestId,
      service: request.service,
      route: request.route.name,
      peer,
      result: outcome.kind,
      upstream: outcome.kind === 'answered' ? outcome.upstream : undefined,
      status: outcome.kind === 'answered' ? outcome.answer.status : undefined,
      cause: toCause(result),
      tookMs: Math.round(nowMs - attempt.startedAtMs),
    });
    return outcome;
  }

  /** Closes the idle connections. */
  close(): void {
    this.#retain([]);
  }

  #toMessage(
    request: RoutedRequest,
    excluded: readonly string[],
    nowMs: number,
  ) {
    const {requestId, method, url, headers, body, callerAddress} = request;
    const {service, route, account, arrivedAtMs, deadlineMs} = request;
    const {allowedRegions} = request;
    const message = {
      requestId,
      method,
      url,
      headers: definedOf(headers),
      hasBody: body !== null,
      callerAddress,
      account: account?.name,
      allowedRegions: allowedRegions && [...allowedRegions],
      service,
      kind: route.kind,
      elapsedMs: Math.max(0, nowMs - arrivedAtMs),
      remainingMs: Math.max(0, deadlineMs - nowMs),
      excluded: [...excluded],
    };
    return {
      method: 'POST',
      path: RELAY_PATH,
      headers: {'content-type': 'application/octet-stream'},
      body: serializeRequest(message, body),
    };
  }

  #hasConnection(address: string): boolean {
    const pool = this.#pools.get(address);
    return pool === undefined || pool.idleCount > 0 || !pool.isFull;
  }

  #poolOf(address: string): ConnectionPool {
    const known = this.#pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const pool = new ConnectionPool(address, MAXIMUM_CONNECTIONS);
    this.#pools.set(address, pool);
    return pool;
  }

  /** Closes the connections to entries that are gone. */
  #retain(records: readonly EntryRecord[]): void {
    const addresses = new Set(records.map(({feedAddress}) => feedAddress));
    for (const [address, pool] of this.#pools) {
      if (!addresses.has(address)) {
        this.#pools.delete(address);
        pool.close();
      }
    }
    this.#choice.retain(new Set(records.map(({name}) => name)));
  }
}

function toOutcome(result: ExchangeResult): RelayOutcome {
  switch (result.kind) {
    case 'answered':
      return toAnswered(result.answer);
    case 'not-run':
      return toRefused(result.headers);
    case 'not-sent':
      return {kind: 'unreached'};
    default:
      return {kind: 'unknown'};
  }
}

function toAnswered({headers, body}: CompleteAnswer): RelayOutcome {
  const relayed =
    headers[RESULT_HEADER] === 'answer' ? parseAnswer(body) : undefined;
  return relayed === undefined
    ? {kind: 'unknown'}
    : {kind: 'answered', ...relayed};
}

function toRefused(headers: IncomingHttpHeaders): RelayOutcome {
  const reason = toRefusalReason(headers[REASON_HEADER]) ?? 'unreached';
  if (ELSEWHERE.has(reason)) {
    return {kind: 'unreached'};
  }
  const retryAfterMs = Number(headers[RETRY_AFTER_HEADER]) || 0;
  return {kind: 'refused', reason, retryAfterMs};
}

function readInFlight(result: ExchangeResult): number | undefined {
  const headers =
    result.kind === 'answered'
      ? result.answer.headers
      : result.kind === 'not-run'
        ? result.headers
        : {};
  const text = headers[IN_FLIGHT_HEADER];
  return typeof text === 'string' ? Number(text) || 0 : undefined;
}

function toCause(result: ExchangeResult): string | undefined {
  if (result.kind === 'not-run') {
    return String(result.headers[REASON_HEADER]);
  }
  return 'message' in result ? result.message : undefined;
}
