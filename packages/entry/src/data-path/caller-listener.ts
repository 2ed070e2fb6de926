/** HTTP server for callers: lists the entries and answers requests. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RouteMiss} from '@wasabidyke/manifest';
import {parseSocketAddress} from '@wasabidyke/operator';
import {
  ConnectionRefusals,
  parseRequestTarget,
  type Clock,
  type Counter,
  type DurationHistogram,
  type MetricRegistry,
} from '@wasabidyke/shared';
import Fastify, {type FastifyInstance} from 'fastify';
import type {EntryList} from '../control/entry-list.js';
import type {ManifestKeeper} from '../control/manifest-keeper.js';
import type {StopDeadline} from '../control/stop-deadline.js';
import type {AtMostOnceHandler} from '../at-most-once/at-most-once-handler.js';
import {createCallerRequest} from './caller-request.js';
import {ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER} from './headers.js';
import {sendProblem, toProblemBody, toStatus, type Problem} from './problem.js';
import type {RelayHandler} from './relay-handler.js';

/** Options of `CallerListener`. */
export interface CallerListenerOptions {
  /** IP address and port. */
  readonly address: string;
  readonly keeper: ManifestKeeper;
  readonly entryList: EntryList;
  readonly relayHandler: RelayHandler;
  readonly atMostOnceHandler: AtMostOnceHandler;
  readonly clock: Clock;
  readonly stopDeadline: StopDeadline;
  readonly metrics: MetricRegistry;
}

/** Limit of open connections from callers. */
const MAXIMUM_CONNECTIONS = 20_000;

/** Time after which an idle connection of a caller is closed, in milliseconds. */
const IDLE_CONNECTION_MS = 75_000;

/** Time allowed for the headers of a request to arrive, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;

/** How long callers may use an entry list sent before the first manifest, in seconds. */
const INITIAL_LIST_MAXIMUM_AGE_SECONDS = 1;

/** Time for the last answers to be written, in milliseconds: well within what is left before the process is killed. */
const LAST_ANSWERS_MS = 300;

/** Reasons by the code of an error of Node's parser; all others are `bad-request`. */
const REASON_BY_CODE: ReadonlyMap<string | undefined, Problem['reason']> =
  new Map([
    ['HPE_HEADER_OVERFLOW', 'headers-too-large'],
    ['ERR_HTTP_REQUEST_TIMEOUT', 'request-timeout'],
  ]);

/** Accepts connections of callers and answers their requests. */
export class CallerListener {
  readonly #options: CallerListenerOptions;
  readonly #fastify: FastifyInstance;
  readonly #requests: Counter;
  readonly #latency: DurationHistogram;
  readonly #refusals = new ConnectionRefusals({toAnswer: toMalformedAnswer});
  #inFlight = 0;
  #isDraining = false;
  #onIdle: (() => void) | undefined;

  constructor(options: CallerListenerOptions) {
    this.#options = options;
    this.#requests = options.metrics.counter(
      'wasabidyke_requests_total',
      'Requests of callers.',
    );
    this.#latency = options.metrics.histogram(
      'wasabidyke_request_duration_seconds',
      'Time from the arrival of a request to the end of its answer.',
    );
    options.metrics.gauge(
      'wasabidyke_requests_in_flight',
      'Requests of callers under way.',
      () => this.#inFlight,
    );
    this.#fastify = this.#createFastify();
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Starts to listen. @throws When the address is invalid or can't be bound. */
  async listen(): Promise<void> {
    const address = parseSocketAddress(this.#options.address);
    if (address === undefined) {
      throw new Error(
        `"${this.#options.address}" is not an IP address and port.`,
      );
    }
    await this.#fastify.listen(address);
  }

  /** Closes each connection after its next answer from now on. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Stops accepting connections and resolves once no request is in flight. */
  async stop(): Promise<void> {
    this.#options.atMostOnceHandler.startDraining();
    const {server} = this.#fastify;
    server.close();
    server.closeIdleConnections();
    if (this.#inFlight > 0) {
      await new Promise<void>(resolve => (this.#onIdle = resolve));
    }
    server.closeIdleConnections();
    await this.#fastify.close();
  }

  /** Ends what is still open once all requests that upstreams have were answered: bodies that never end, callers that don't read. */
  expire(): void {
    setTimeout(
      () => this.#fastify.server.closeAllConnections(),
      LAST_ANSWERS_MS,
    ).unref();
  }

  #createFastify(): FastifyInstance {
    const fastify = Fastify({
      keepAliveTimeout: IDLE_CONNECTION_MS,
      requestTimeout: 0,
      bodyLimit: Number.MAX_SAFE_INTEGER,
      forceCloseConnections: 'idle',
      return503OnClosing: false,
      exposeHeadRoutes: false,
      clientErrorHandler: (error, socket) =>
        this.#refusals.onError(error, socket),
      frameworkErrors: (error, request, reply) => {
        reply.hijack();
        refuse(request.raw, reply.raw, 'bad-request', error.message);
      },
      http: {headersTimeout: HEADERS_TIMEOUT_MS},
    });
    fastify.server.maxConnections = MAXIMUM_CONNECTIONS;
    fastify.addHook('onRequest', (request, reply, done) => {
      // Without `done`, a request of a refused connection is not served.
      if (this.#refusals.onRequest(request.raw, reply.raw)) {
        done();
      } else {
        reply.hijack();
      }
    });
    fastify.removeAllContentTypeParsers();
    fastify.addContentTypeParser('*', (_request, _payload, done) => done(null));
    fastify.get('/v1/entries', (request, reply) => {
      reply.hijack();
      this.#sendEntries(request.raw, reply.raw);
    });
    fastify.all('/*', (request, reply) => {
      reply.hijack();
      this.#handleRequest(request.raw, reply.raw);
    });
    fastify.setNotFoundHandler((request, reply) => {
      reply.hijack();
      this.#handleRequest(request.raw, reply.raw);
    });
    return fastify;
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const startedAtMs = this.#options.clock.now();
    this.#inFlight += 1;
    this.#requests.add();
    const isLastAnswer = this.#refusals.isRefused(request.socket);
    if (this.#isDraining || isLastAnswer) {
      response.setHeader('connection', 'close');
    }
    response.once('close', () => this.#onClose(startedAtMs));
    this.#route(request, response, startedAtMs);
  }

  #onClose(startedAtMs: number): void {
    this.#inFlight -= 1;
    this.#latency.record(this.#options.clock.now() - startedAtMs);
    if (this.#inFlight === 0) {
      this.#onIdle?.();
    }
  }

  #route(
    request: IncomingMessage,
    response: ServerResponse,
    nowMs: number,
  ): void {
    const {snapshot} = this.#options.keeper;
    if (snapshot === undefined) {
      const detail = 'It waits for its first manifest.';
      refuse(request, response, 'not-ready', detail);
      return;
    }
    const path = toPath(request.url ?? '/');
    const route = snapshot.findRoute(request.method ?? 'GET', path);
    if (typeof route === 'string') {
      refuse(request, response, route, MISS_DETAILS[route]);
      return;
    }
    const call = createCallerRequest(
      request,
      response,
      snapshot,
      route,
      nowMs,
      this.#options.stopDeadline,
    );
    const isAtMostOnce = route.rule.kind === 'at-most-once';
    const {atMostOnceHandler, relayHandler} = this.#options;
    const handler = isAtMostOnce ? atMostOnceHandler : relayHandler;
    handler.handle(call).catch(() => response.destroy());
  }

  #sendEntries(request: IncomingMessage, response: ServerResponse): void {
    const {entryList, keeper} = this.#options;
    const query = parseRequestTarget(request.url ?? '/')?.searchParams;
    const region = query?.get('region') ?? undefined;
    const zone = query?.get('zone') ?? undefined;
    const maximumAgeSeconds =
      keeper.snapshot?.manifest.entries.listMaximumAgeSeconds ??
      INITIAL_LIST_MAXIMUM_AGE_SECONDS;
    const entries = entryList.list({region, zone});
    const body = JSON.stringify({entries, maximumAgeSeconds});
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'cache-control': `max-age=${maximumAgeSeconds}`,
    });
    response.end(body);
  }
}

const MISS_DETAILS: Readonly<Record<RouteMiss, string>> = {
  'unknown-service': 'No service of the manifest in force has this path.',
  'unknown-request': 'Its service has no rule for this path.',
  'wrong-method': 'Its service has no rule for this method at this path.',
};

/**
 * Refuses a request that has no route. Another entry may have run an earlier
 * send of a request with a key, so only its first send has certainly not run.
 */
function refuse(
  request: IncomingMessage,
  response: ServerResponse,
  reason: Problem['reason'],
  detail: string,
): void {
  const hasKey = request.headers[IDEMPOTENCY_KEY_HEADER] !== undefined;
  const isFirstAttempt = request.headers[ATTEMPT_HEADER] === '1';
  const outcome = hasKey && !isFirstAttempt ? 'unknown' : 'not-run';
  sendProblem(response, {reason, outcome, detail});
}

function toPath(url: string): string {
  const end = url.indexOf('?');
  return end === -1 ? url : url.slice(0, end);
}

/** The answer to bytes that are not HTTP, can't be parsed safely, or don't arrive in time. */
function toMalformedAnswer({code}: NodeJS.ErrnoException): string {
  const problem: Problem = {
    reason: REASON_BY_CODE.get(code) ?? 'bad-request',
    outcome: 'not-run',
    detail: 'It was refused before it was read whole.',
  };
  const body = toProblemBody(problem);
  const head = [
    `HTTP/1.1 ${toStatus(problem.reason)} Refused`,
    'Content-Type: application/problem+json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Wasabidyke-Outcome: not-run',
    'Connection: close',
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}
