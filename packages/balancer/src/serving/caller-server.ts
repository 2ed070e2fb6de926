/** HTTP server for callers: reads each request completely, dispatches it to upstreams and writes the answer. */

import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {
  SECOND_MS,
  type Clock,
  type Counter,
  type DurationHistogram,
  type MetricRegistry,
} from '@wasabidyke/shared';
import type {CompleteAnswer} from '../exchange/exchange.js';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {CallerLimits} from '../routing/routing-configuration.js';
import type {RoutingTable} from '../routing/routing-table.js';
import {canBeFinished} from './attempt-timing.js';
import {readBody, type BodyResult} from './body-reader.js';
import {refuseMalformed} from './malformed-request.js';
import type {RequestDispatcherOptions} from './dispatcher-options.js';
import {headerBytesOf} from './request-head.js';
import {onceClosed} from './response-close.js';
import {STOPPING_RETRY_AFTER_MS} from './refusals.js';
import {RequestRouter} from './request-router.js';
import {RequestDispatcher} from './request-dispatcher.js';
import {toRefusalFields} from './refusal-fields.js';
import {statusOf, type Refusal, type RoutedRequest} from './routed-request.js';

/** Options of `CallerServer`. */
export interface CallerServerOptions extends RequestDispatcherOptions {
  /** Returns the current routing table; undefined before the first configuration. */
  readonly table: () => RoutingTable | undefined;
  readonly protocol: WireProtocol;
  readonly metrics: MetricRegistry;
  readonly log: DecisionLog;
  readonly clock: Clock;
}

/** Upper bound of header sizes in Node's parser; the configured limit applies below it. */
const MAXIMUM_HEADER_BYTES = 65_536;

/** Timeouts before the first configuration. */
const INITIAL_IDLE_TIMEOUT_MS = 15_000;
const INITIAL_HEADER_TIMEOUT_MS = 5_000;

/** Interval of Node's check for connections that exceed a timeout, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

/** Delay after which a caller that an unconfigured entry refuses may try another entry, in milliseconds. */
const UNCONFIGURED_RETRY_AFTER_MS = 300;

/** Delay after which a caller may try again whose body found no memory, in milliseconds: another upload has ended by then, or another entry has room. */
const MEMORY_RETRY_AFTER_MS = 250;

/** Serves callers' requests. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #router: RequestRouter;
  readonly #latency: DurationHistogram;
  readonly #requests: Counter;
  readonly #dispatchers = new Set<RequestDispatcher>();
  /** Unanswered requests of each connection. */
  readonly #unansweredRequests = new WeakMap<Socket, number>();
  #inFlight = 0;
  #isClosingConnections = false;
  #isStopping = false;
  #onIdle: (() => void) | undefined;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#router = new RequestRouter(options);
    this.#latency = options.metrics.histogram(
      'wasabidyke_request_duration_seconds',
      'Time from the arrival of a request to the end of its answer.',
    );
    this.#requests = options.metrics.counter(
      'wasabidyke_requests_total',
      'Requests of callers.',
    );
    options.metrics.gauge(
      'wasabidyke_requests_in_flight',
      'Requests of callers under way.',
      () => this.#inFlight,
    );
    this.#server = this.#createServer();
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Starts to listen. @throws If the address can't be bound. */
  async listen(host: string, port: number): Promise<void> {
    this.#server.listen(port, host);
    await once(this.#server, 'listening');
  }

  /** Applies the configured timeouts of connections. */
  applyLimits(limits: CallerLimits): void {
    const server = this.#server;
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Closes each connection after its next answer from now on. */
  closeConnections(): void {
    this.#isClosingConnections = true;
  }

  /** Refuses new connections and requests; resolves once the requests in flight are answered. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    this.#server.close();
    this.#server.closeIdleConnections();
    if (this.#inFlight > 0) {
      await new Promise<void>(resolve => (this.#onIdle = resolve));
    }
  }

  /** Answers the requests that are still in flight: whether they have run isn't known. */
  expire(): void {
    for (const dispatcher of [...this.#dispatchers]) {
      dispatcher.expire();
    }
  }

  /** Uses Node's HTTP server directly: a framework would double the duration of a restart. */
  #createServer(): Server {
    const server = createServer(
      {
        keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
        requestTimeout: 0,
        headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      },
      (request, response) => this.#accept(request, response),
    );
    // Each pipelined request listens to its connection.
    server.on('connection', socket => socket.setMaxListeners(0));
    server.on('clientError', (error, socket) =>
      refuseMalformed(error, socket as Socket),
    );
    return server;
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = this.#options.clock.now();
    const {socket} = request;
    this.#inFlight += 1;
    this.#requests.add();
    this.#unansweredRequests.set(
      socket,
      (this.#unansweredRequests.get(socket) ?? 0) + 1,
    );
    onceClosed(response, () => this.#onClose(socket, arrivedAtMs));
    this.#serve(request, response, arrivedAtMs).catch((error: unknown) => {
      this.#options.log.record('request.fault', {cause: String(error)});
      response.destroy();
    });
  }

  #onClose(socket: Socket, arrivedAtMs: number): void {
    this.#inFlight -= 1;
    this.#unansweredRequests.set(
      socket,
      (this.#unansweredRequests.get(socket) ?? 1) - 1,
    );
    this.#latency.record(this.#options.clock.now() - arrivedAtMs);
    if (this.#inFlight === 0) {
      this.#onIdle?.();
    }
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAtMs: number,
  ): Promise<void> {
    const table = this.#options.table();
    const {requestId, remainingMs, accountKey} =
      this.#options.protocol.readCallerMetadata(request.headers);
    if (table === undefined) {
      this.#refuse(response, requestId, {
        reason: 'no-configuration',
        isNotRun: true,
        retryAfterMs: UNCONFIGURED_RETRY_AFTER_MS,
      });
      return;
    }
    const url = request.url ?? '/';
    const routed = this.#router.route(table, url, request.headers, accountKey);
    if (routed.kind === 'rejection') {
      this.#options.log.record(routed.event, {
        request: requestId,
        host: request.headers.host,
        path: url,
        version: table.version,
      });
      this.#send(response, routed.status, {});
      return;
    }
    const {route, service, account, priority, allowedRegions} = routed;
    if (headerBytesOf(request) > table.limits.headerBytes) {
      this.#send(response, 431, {});
      return;
    }
    const timeoutMs = Math.min(route.timeoutMs, remainingMs ?? Infinity);
    const ownDeadlineMs = arrivedAtMs + timeoutMs;
    if (this.#isStoppedTooEarly(ownDeadlineMs)) {
      this.#refuseStopping(response, requestId);
      return;
    }
    const bodyResult = await readBody(request, {
      limitBytes: table.limits.bodyBytes,
      memory: this.#options.bodyMemory,
      withinMs: ownDeadlineMs - this.#options.clock.now(),
    });
    if (bodyResult.kind !== 'body') {
      this.#refuseBody(response, requestId, bodyResult.kind);
      return;
    }
    onceClosed(response, bodyResult.release);
    // A long upload may have ended after the stop began.
    if (this.#isStoppedTooEarly(ownDeadlineMs)) {
      this.#refuseStopping(response, requestId);
      return;
    }
    const {endsAtMs} = this.#options;
    await this.#dispatch(response, {
      requestId,
      method: request.method ?? 'GET',
      url,
      headers: routed.headers,
      body: bodyResult.body,
      callerAddress: request.socket.remoteAddress ?? '',
      host: request.headers.host ?? '',
      route,
      account,
      priority,
      allowedRegions,
      service,
      loadPath: table.findService(service)?.loadPath ?? '/',
      configurationVersion: table.version,
      arrivedAtMs,
      ownDeadlineMs,
      get deadlineMs() {
        return Math.min(ownDeadlineMs, endsAtMs());
      },
    });
  }

  /** Whether a request that has not been passed on is refused because of the stop of this process. */
  #isStoppedTooEarly(ownDeadlineMs: number): boolean {
    const endsAtMs = this.#options.endsAtMs();
    return this.#isStopping || !canBeFinished({ownDeadlineMs}, endsAtMs);
  }

  async #dispatch(
    response: ServerResponse,
    request: RoutedRequest,
  ): Promise<void> {
    if (response.destroyed || response.req.socket.destroyed) {
      return;
    }
    const dispatcher = new RequestDispatcher(request, this.#options);
    const removeListener = onceClosed(response, () => dispatcher.cancel());
    this.#dispatchers.add(dispatcher);
    dispatcher.start();
    const result = await dispatcher.result;
    this.#dispatchers.delete(dispatcher);
    if (result === undefined) {
      // The caller closed its connection before the answer.
      this.#options.log.record('request.left', {
        request: request.requestId,
        tookMs: Math.round(this.#options.clock.now() - request.arrivedAtMs),
      });
      return;
    }
    removeListener();
    if (result.kind === 'answer') {
      this.#sendAnswer(response, request, result.answer);
    } else {
      this.#refuse(response, request.requestId, result.refusal, request);
    }
  }

  #sendAnswer(
    response: ServerResponse,
    request: RoutedRequest,
    answer: CompleteAnswer,
  ): void {
    const headers = this.#options.protocol.toCallerHeaders(answer.headers);
    const hasBody =
      request.method !== 'HEAD' &&
      answer.status !== 204 &&
      answer.status !== 304;
    if (hasBody) {
      headers['content-length'] = String(answer.body.length);
    }
    this.#closeIfLast(response);
    response.writeHead(answer.status, headers);
    response.end(hasBody ? answer.body : undefined);
  }

  #refuse(
    response: ServerResponse,
    requestId: string | undefined,
    refusal: Refusal,
    request?: RoutedRequest,
  ): void {
    const status = statusOf(refusal);
    const nowMs = this.#options.clock.now();
    this.#options.log.record('request.refused', {
      request: requestId,
      ...toRefusalFields(refusal, request, nowMs),
    });
    const headers: Record<string, string> = {};
    if (refusal.retryAfterMs !== undefined) {
      headers['retry-after'] = (refusal.retryAfterMs / SECOND_MS).toFixed(3);
    }
    this.#send(response, status, headers);
  }

  #refuseStopping(
    response: ServerResponse,
    requestId: string | undefined,
  ): void {
    this.#refuse(response, requestId, {
      reason: 'stopping',
      isNotRun: true,
      retryAfterMs: STOPPING_RETRY_AFTER_MS,
    });
  }

  #refuseBody(
    response: ServerResponse,
    requestId: string | undefined,
    reason: Exclude<BodyResult['kind'], 'body'>,
  ): void {
    this.#options.log.record('request.body-refused', {reason});
    if (reason === 'broken-off' || reason === 'overdue') {
      response.destroy();
      return;
    }
    // The rest of the body stays unread, so the connection can't be reused.
    response.setHeader('connection', 'close');
    if (reason === 'no-memory') {
      const retryAfterMs = MEMORY_RETRY_AFTER_MS;
      this.#refuse(response, requestId, {reason, isNotRun: true, retryAfterMs});
    } else {
      this.#send(response, 413, {});
    }
  }

  #send(
    response: ServerResponse,
    status: number,
    headers: Record<string, string>,
  ): void {
    this.#closeIfLast(response);
    response.writeHead(status, {...headers, 'content-length': '0'});
    response.end();
  }

  /** Closes the connection after this answer, unless further requests on it are already being served. */
  #closeIfLast(response: ServerResponse): void {
    const {socket} = response.req;
    const isLast = (this.#unansweredRequests.get(socket) ?? 1) <= 1;
    if (this.#isClosingConnections && isLast) {
      response.setHeader('connection', 'close');
    }
  }
}
