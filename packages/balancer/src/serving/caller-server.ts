/** HTTP server for callers: reads each request completely, dispatches it to upstreams and writes the answer. */

import {once} from 'node:events';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  onceClosed,
  type Clock,
  type Counter,
  type DurationHistogram,
  type MetricRegistry,
} from '@wasabidyke/shared';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {QuotaGate} from '../quotas/quota-gate.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {OwnAnswers} from '../reporting/own-answers.js';
import type {CallerLimits} from '../routing/routing-configuration.js';
import type {RoutingTable} from '../routing/routing-table.js';
import {canBeFinished} from './attempt-timing.js';
import {startReading} from './body-reader.js';
import {CallerAnswers} from './caller-answers.js';
import {CallerConnections} from './caller-connections.js';
import {createCallerListener} from './caller-listener.js';
import {awaitChargedBody} from './charged-body.js';
import type {RequestDispatcherOptions} from './dispatcher-options.js';
import {DenialGate} from './denial-gate.js';
import {headerBytesOf} from './request-head.js';
import {NO_WEIGHT_REFUSAL} from './refusals.js';
import {toOriginForm} from './request-target.js';
import {
  RequestRouter,
  type AccountChange,
  type RoutingRejection,
} from './request-router.js';
import {RequestDispatcher} from './request-dispatcher.js';
import type {RoutedRequest} from './routed-request.js';

/** Options of `CallerServer`. */
export interface CallerServerOptions extends RequestDispatcherOptions {
  /** Returns the current routing table; undefined before the first configuration. */
  readonly table: () => RoutingTable | undefined;
  /** Whether no newer configuration was read that couldn't be applied. */
  readonly isTableNewest: () => boolean;
  readonly protocol: WireProtocol;
  readonly quotas: QuotaGate;
  readonly metrics: MetricRegistry;
  readonly log: DecisionLog;
  readonly ownAnswers: OwnAnswers;
  readonly clock: Clock;
}

/** Delay after which a caller that an unconfigured entry refuses may try another entry, in milliseconds. */
const UNCONFIGURED_RETRY_AFTER_MS = 300;

/** Serves callers' requests. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #router: RequestRouter;
  readonly #latency: DurationHistogram;
  readonly #requests: Counter;
  readonly #dispatchers = new Set<RequestDispatcher>();
  readonly #connections: CallerConnections;
  readonly #answers: CallerAnswers;
  readonly #denialGate: DenialGate;
  #inFlight = 0;
  #isStopping = false;
  #onIdle: (() => void) | undefined;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#connections = new CallerConnections(options.log, options.ownAnswers);
    this.#denialGate = new DenialGate({
      confirmation: () => options.ownAnswers.origin,
      isTableNewest: options.isTableNewest,
      clock: options.clock,
    });
    this.#answers = new CallerAnswers({
      ...options,
      denialGate: this.#denialGate,
      connections: this.#connections,
    });
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
    this.#server = createCallerListener({
      refusals: this.#connections.refusals,
      onRequest: (request, response) => this.#accept(request, response),
      onProtocolError: (response, problem) =>
        this.#answers.refuseProtocol(response, problem),
    });
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Starts to listen. @throws If the address can't be bound. */
  async listen(host: string, port: number): Promise<void> {
    this.#denialGate.start();
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
    this.#connections.closeAll();
  }

  /** Refuses new connections and requests; resolves once the requests in flight are answered. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    this.#denialGate.stop();
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

  #accept(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = this.#options.clock.now();
    const {socket} = request;
    toOriginForm(request);
    this.#inFlight += 1;
    this.#requests.add();
    this.#denialGate.onRequest();
    this.#connections.onRequest(socket);
    onceClosed(response, () => this.#onClose(socket, arrivedAtMs));
    this.#serve(request, response, arrivedAtMs).catch((error: unknown) => {
      this.#options.log.record('request.fault', {cause: String(error)});
      response.destroy();
    });
  }

  #onClose(socket: Socket, arrivedAtMs: number): void {
    this.#inFlight -= 1;
    this.#connections.onAnswered(socket);
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
    const metadata = this.#options.protocol.readCallerMetadata(
      request.headers,
      request.rawHeaders,
    );
    const {requestId, remainingMs} = metadata;
    if (table === undefined) {
      this.#answers.refuse(response, requestId, {
        reason: 'no-configuration',
        isNotRun: true,
        retryAfterMs: UNCONFIGURED_RETRY_AFTER_MS,
      });
      return;
    }
    const url = request.url ?? '/';
    // What has no route is told so, whatever its size.
    const headBytes = headerBytesOf(request);
    const isTooLarge = headBytes > table.limits.headerBytes;
    if (isTooLarge && table.findRoute(request.headers.host, url)) {
      this.#answers.refuseHead(response, requestId, headBytes, table);
      return;
    }
    const routed = this.#router.route(table, url, request.headers, metadata);
    if (routed.kind === 'rejection') {
      this.#answers.reject(response, requestId, routed);
      return;
    }
    if (routed.kind === 'unserved') {
      this.#answers.refuse(response, requestId, NO_WEIGHT_REFUSAL, {
        ...routed,
        priority: routed.account?.priority ?? routed.route.priority,
        configurationVersion: table.version,
        arrivedAtMs,
      });
      return;
    }
    const {route, service, account, priority, allowedRegions} = routed;
    const timeoutMs = Math.min(route.timeoutMs, remainingMs ?? Infinity);
    const ownDeadlineMs = arrivedAtMs + timeoutMs;
    if (this.#isStoppedTooEarly(ownDeadlineMs)) {
      this.#answers.refuseStopping(response, requestId);
      return;
    }
    const charge = this.#options.quotas.charge(account);
    const reading = startReading(request, {
      limitBytes: table.limits.bodyBytes,
      memory: this.#options.bodyMemory,
      withinMs: ownDeadlineMs - this.#options.clock.now(),
    });
    const bodyResult = await awaitChargedBody(request, reading, charge);
    if (bodyResult.kind === 'refused') {
      this.#answers.refuse(response, requestId, bodyResult.refusal, {
        ...routed,
        configurationVersion: table.version,
        arrivedAtMs,
      });
      return;
    }
    if (bodyResult.kind !== 'body') {
      this.#answers.refuseBody(response, requestId, bodyResult, table);
      return;
    }
    onceClosed(response, bodyResult.release);
    // A long upload may have ended after the stop began.
    if (this.#isStoppedTooEarly(ownDeadlineMs)) {
      this.#answers.refuseStopping(response, requestId);
      return;
    }
    const recheck = () =>
      this.#router.recheck(
        {table, account},
        this.#options.table(),
        url,
        request.headers,
        metadata,
      );
    const change = recheck();
    if (change !== undefined) {
      this.#answers.refuseChanged(response, requestId, change);
      return;
    }
    const {endsAtMs} = this.#options;
    const routedRequest: RoutedRequest = {
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
      isStillAuthorized: () => recheck() === undefined,
    };
    await this.#dispatch(response, routedRequest, recheck);
  }

  /** Whether a request that has not been passed on is refused because of the stop of this process. */
  #isStoppedTooEarly(ownDeadlineMs: number): boolean {
    const endsAtMs = this.#options.endsAtMs();
    return this.#isStopping || !canBeFinished({ownDeadlineMs}, endsAtMs);
  }

  async #dispatch(
    response: ServerResponse,
    request: RoutedRequest,
    recheck: () => RoutingRejection | AccountChange | undefined,
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
      this.#answers.sendAnswer(response, request, result.answer);
      return;
    }
    const {refusal} = result;
    const isChanged = refusal.reason === 'other-configuration';
    const change = isChanged ? recheck() : undefined;
    if (change?.kind === 'rejection') {
      this.#answers.reject(response, request.requestId, change);
    } else {
      this.#answers.refuse(response, request.requestId, refusal, request);
    }
  }
}
