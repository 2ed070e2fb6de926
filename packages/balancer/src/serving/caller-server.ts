/** Takes callers' connections: reads each request whole, has it run, and writes its answer. */

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
import type {WholeAnswer} from '../exchange/exchange.js';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {CallerLimits} from '../routing/routing-configuration.js';
import type {RoutingTable} from '../routing/routing-table.js';
import {readBody} from './body-reader.js';
import type {Call, Refusal} from './call.js';
import {RequestRun, type RequestRunOptions} from './request-run.js';

/** What the server needs. */
export interface CallerServerOptions extends RequestRunOptions {
  /** The configuration in force; undefined before the first one. */
  readonly table: () => RoutingTable | undefined;
  readonly protocol: WireProtocol;
  readonly metrics: MetricRegistry;
  readonly log: DecisionLog;
  readonly clock: Clock;
}

/** Headers up to this size are read; the limit of the configuration holds within it. */
const MAXIMUM_HEADER_BYTES = 65_536;

/** Limits before the first configuration. */
const FIRST_IDLE_TIMEOUT_MS = 15_000;
const FIRST_HEADER_TIMEOUT_MS = 5_000;

/** How often connections are looked through for those that took too long, in milliseconds. */
const CONNECTION_CHECK_MS = 1_000;

/** When a caller that came to a stopping entry, or to one without a configuration, may try another. */
const ELSEWHERE_MS = 50;
const UNCONFIGURED_MS = 300;

/** Takes callers. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #latency: DurationHistogram;
  readonly #requests: Counter;
  /** Requests that are read but not answered, for each connection. */
  readonly #pending = new WeakMap<Socket, number>();
  #inFlight = 0;
  #isClosingConnections = false;
  #isRefusing = false;
  #onIdle: (() => void) | undefined;

  constructor(options: CallerServerOptions) {
    this.#options = options;
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

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Starts to listen. @throws When the address can't be had. */
  async listen(host: string, port: number): Promise<void> {
    this.#server.listen(port, host);
    await once(this.#server, 'listening');
  }

  /** Takes over what the configuration says of connections. */
  applyLimits(limits: CallerLimits): void {
    const server = this.#server;
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.headersTimeout = limits.headerTimeoutMs;
  }

  /** From now on, connections close after their answers. */
  closeConnections(): void {
    this.#isClosingConnections = true;
  }

  /** Takes no new connections and no new requests; resolves once those under way are answered. */
  async stop(): Promise<void> {
    this.#isRefusing = true;
    this.#server.close();
    this.#server.closeIdleConnections();
    if (this.#inFlight > 0) {
      await new Promise<void>(resolve => (this.#onIdle = resolve));
    }
  }

  /** Node's own server: a framework would double the time that a restart takes. */
  #createServer(): Server {
    const server = createServer(
      {
        keepAliveTimeout: FIRST_IDLE_TIMEOUT_MS,
        requestTimeout: 0,
        headersTimeout: FIRST_HEADER_TIMEOUT_MS,
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
      },
      (request, response) => this.#accept(request, response),
    );
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
    this.#pending.set(socket, (this.#pending.get(socket) ?? 0) + 1);
    response.once('close', () => this.#onClose(socket, arrivedAtMs));
    this.#serve(request, response, arrivedAtMs).catch((error: unknown) => {
      this.#options.log.record('request.fault', {cause: String(error)});
      response.destroy();
    });
  }

  #onClose(socket: Socket, arrivedAtMs: number): void {
    this.#inFlight -= 1;
    this.#pending.set(socket, (this.#pending.get(socket) ?? 1) - 1);
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
    const {requestId, leftMs} = this.#options.protocol.readCaller(
      request.headers,
    );
    if (table === undefined) {
      this.#refuse(response, requestId, {
        reason: 'no-configuration',
        isNotRun: true,
        comeBackMs: UNCONFIGURED_MS,
      });
      return;
    }
    if (this.#isRefusing) {
      this.#refuse(response, requestId, {
        reason: 'stopping',
        isNotRun: true,
        comeBackMs: ELSEWHERE_MS,
      });
      return;
    }
    const url = request.url ?? '/';
    const route = table.findRoute(request.headers.host, url);
    const service = route && this.#options.memory.nextService(route);
    if (route === undefined || service === undefined) {
      this.#options.log.record('request.unrouted', {
        request: requestId,
        host: request.headers.host,
        path: url,
        version: table.version,
      });
      this.#send(response, 404, {});
      return;
    }
    if (toHeaderBytes(request) > table.limits.headerBytes) {
      this.#send(response, 431, {});
      return;
    }
    const read = await readBody(request, table.limits.bodyBytes);
    if (read.kind !== 'body') {
      this.#refuseBody(response, read.kind);
      return;
    }
    const timeoutMs = Math.min(route.timeoutMs, leftMs ?? Infinity);
    await this.#run(response, {
      requestId,
      method: request.method ?? 'GET',
      url,
      headers: request.headers,
      body: read.body,
      route,
      service,
      loadPath: table.findService(service)?.loadPath ?? '/',
      configurationVersion: table.version,
      arrivedAtMs,
      deadlineMs: arrivedAtMs + timeoutMs,
    });
  }

  async #run(response: ServerResponse, call: Call): Promise<void> {
    if (response.destroyed) {
      return;
    }
    const run = new RequestRun(call, this.#options);
    const onClose = () => run.cancel();
    response.once('close', onClose);
    run.start();
    const result = await run.result;
    if (result === undefined) {
      this.#options.log.record('request.left', {
        request: call.requestId,
        tookMs: Math.round(this.#options.clock.now() - call.arrivedAtMs),
      });
      return;
    }
    response.off('close', onClose);
    if (result.kind === 'answer') {
      this.#sendAnswer(response, call, result.answer);
    } else {
      this.#refuse(response, call.requestId, result.refusal, call);
    }
  }

  #sendAnswer(response: ServerResponse, call: Call, answer: WholeAnswer): void {
    const headers = this.#options.protocol.toCaller(answer.headers);
    const hasBody =
      call.method !== 'HEAD' && answer.status !== 204 && answer.status !== 304;
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
    call?: Call,
  ): void {
    const status = toStatus(refusal);
    this.#options.log.record('request.refused', {
      request: requestId,
      reason: refusal.reason,
      status,
      isNotRun: refusal.isNotRun,
      comeBackMs: round(refusal.comeBackMs),
      route: call?.route.name,
      service: call?.service,
      version: call?.configurationVersion,
      upstream: refusal.belief?.upstream,
      estimateMs: round(refusal.belief?.estimateMs),
      reportAgeMs: round(refusal.belief?.reportAgeMs),
      freeSlots: refusal.belief?.freeSlots,
      tookMs: round(call && this.#options.clock.now() - call.arrivedAtMs),
    });
    const headers: Record<string, string> = {};
    if (refusal.comeBackMs !== undefined) {
      headers['retry-after'] = (refusal.comeBackMs / SECOND_MS).toFixed(3);
    }
    this.#send(response, status, headers);
  }

  #refuseBody(
    response: ServerResponse,
    reason: 'too-large' | 'broken-off',
  ): void {
    this.#options.log.record('request.body-refused', {reason});
    if (reason === 'broken-off') {
      response.destroy();
      return;
    }
    // The rest of the body is not read: the connection can't be used again.
    response.setHeader('connection', 'close');
    this.#send(response, 413, {});
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

  /** Closes the connection after this answer, unless requests behind it are already under way. */
  #closeIfLast(response: ServerResponse): void {
    const {socket} = response.req;
    const isLast = (this.#pending.get(socket) ?? 1) <= 1;
    if (this.#isClosingConnections && isLast) {
      response.setHeader('connection', 'close');
    }
  }
}

function toStatus({reason, isNotRun}: Refusal): number {
  if (isNotRun) {
    return 503;
  }
  return reason === 'timeout' ? 504 : 502;
}

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}

const HEADER_SEPARATOR_BYTES = 2;

function toHeaderBytes(request: IncomingMessage): number {
  let bytes = (request.url?.length ?? 0) + (request.method?.length ?? 0);
  for (const part of request.rawHeaders) {
    bytes += part.length + HEADER_SEPARATOR_BYTES;
  }
  return bytes;
}

/** Answers what is no request, or one that took too long to arrive. */
function refuseMalformed(error: Error, socket: Socket): void {
  const {code} = error as NodeJS.ErrnoException;
  if (!socket.writable || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status =
    code === 'ERR_HTTP_REQUEST_TIMEOUT'
      ? '408 Request Timeout'
      : code === 'HPE_HEADER_OVERFLOW'
        ? '431 Request Header Fields Too Large'
        : '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
  );
}
