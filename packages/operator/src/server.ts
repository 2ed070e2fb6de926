/** Serves an entry's operators' interface over HTTP. */

import type {AddressInfo} from 'node:net';
import {MAXIMUM_MANIFEST_BYTES} from '@wasabidyke/manifest';
import {
  ConnectionRefusals,
  Err,
  KIBIBYTE,
  Ok,
  SECOND_MS,
  formatSocketAddress,
  isLoopbackHost,
  parseSocketAddress,
  type Result,
} from '@wasabidyke/shared';
import Fastify, {
  type FastifyError,
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {
  PROBLEM_MEDIA_TYPE,
  createProblem,
  type ProblemKind,
} from './problem.js';
import {addRoutes} from './routes.js';
import type {OperatorService} from './service.js';
import {TokenGuard} from './token.js';

/** Escapes may double the text of a manifest inside JSON; the rest of a submission is small. */
const MAXIMUM_BODY_BYTES = 2 * MAXIMUM_MANIFEST_BYTES + 4 * KIBIBYTE;

/** Operators' connections that may be open at the same time. */
const MAXIMUM_CONNECTIONS = 64;

/** Time for a request to arrive whole. */
const REQUEST_TIMEOUT_MS = 30 * SECOND_MS;

/** Time between two checks of it. */
const CONNECTION_CHECK_INTERVAL_MS = SECOND_MS;

/** How to serve operators. */
export interface OperatorServerOptions {
  /** IP address and port; port 0 leaves the choice to the operating system. */
  readonly address: string;
  /** Bearer token; required where the address is not loopback. */
  readonly token?: string;
  readonly service: OperatorService;
  /** Told of an error that the service let through; the operator gets status 500. */
  readonly onError: (error: Error) => void;
}

/** Why the server does not listen. */
export interface ListenError {
  readonly kind: 'bad-address' | 'token-required' | 'address-refused';
  readonly message: string;
}

/** An answer outside the path of requests. */
interface Refusal {
  readonly kind: ProblemKind;
  readonly status: number;
  readonly detail: string;
}

/** Creates a server; it listens only when told to. */
export function createOperatorServer(
  options: OperatorServerOptions,
): OperatorServer {
  return new OperatorServer(options);
}

/** An HTTP server for operators. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #fastify: FastifyInstance;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#fastify = createFastify();
    this.#fastify.server.maxConnections = MAXIMUM_CONNECTIONS;
    this.#guard();
    this.#answerErrors();
    addRoutes(this.#fastify, options.service);
  }

  /** Starts to listen. @returns The address it listens on. */
  async listen(): Promise<Result<string, ListenError>> {
    const {address, token} = this.#options;
    const socketAddress = parseSocketAddress(address);
    if (socketAddress === undefined) {
      const message = `"${address}" is no IP address with a port.`;
      return Err({kind: 'bad-address', message});
    }
    if (token === undefined && !isLoopbackHost(socketAddress.host)) {
      const message = `${address} is not loopback; set a token for operators.`;
      return Err({kind: 'token-required', message});
    }
    try {
      await this.#fastify.listen(socketAddress);
    } catch (error) {
      const message = `Cannot listen on ${address}: ${toMessage(error)}`;
      return Err({kind: 'address-refused', message});
    }
    const bound = this.#fastify.server.address() as AddressInfo;
    return Ok(formatSocketAddress({host: bound.address, port: bound.port}));
  }

  /** Answers what has arrived, then closes all connections. */
  async close(): Promise<void> {
    await this.#fastify.close();
  }

  #guard(): void {
    const {token} = this.#options;
    const guard = token === undefined ? undefined : new TokenGuard(token);
    this.#fastify.addHook('onRequest', async (request, reply) => {
      if (guard === undefined) {
        return isLocalHostHeader(request) ? undefined : refuseHost(reply);
      }
      if (!guard.accepts(request.headers.authorization)) {
        reply.header('www-authenticate', 'Bearer');
        const detail = 'Send the bearer token of this entry.';
        return sendProblem(reply, 'unauthorized', 401, detail);
      }
      return undefined;
    });
  }

  #answerErrors(): void {
    this.#fastify.setNotFoundHandler((request, reply) => {
      const detail = `There is no ${request.method} ${request.url}.`;
      return sendProblem(reply, 'not-found', 404, detail);
    });
    this.#fastify.setErrorHandler<FastifyError>((error, _request, reply) => {
      const status = error.statusCode ?? 500;
      if (status >= 500) {
        this.#options.onError(error);
        const detail = 'The entry failed to answer; see its log.';
        return sendProblem(reply, 'internal', 500, detail);
      }
      return sendProblem(reply, toKind(status), status, error.message);
    });
  }
}

/** Sends a problem document. */
export function sendProblem(
  reply: FastifyReply,
  kind: ProblemKind,
  status: number,
  detail: string,
): FastifyReply {
  const problem = createProblem(kind, status, detail);
  return reply
    .code(status)
    .type(PROBLEM_MEDIA_TYPE)
    .send(JSON.stringify(problem));
}

function createFastify(): FastifyInstance {
  const refusals = new ConnectionRefusals({toAnswer: toMalformedAnswer});
  const fastify = Fastify({
    bodyLimit: MAXIMUM_BODY_BYTES,
    requestTimeout: REQUEST_TIMEOUT_MS,
    http: {connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS},
    forceCloseConnections: 'idle',
    clientErrorHandler: (error, socket) => refusals.onError(error, socket),
    frameworkErrors: (error, _request, reply) => {
      void sendProblem(reply, 'bad-request', 400, error.message);
    },
  });
  fastify.addHook('onRequest', (request, reply, done) => {
    // Without `done`, a request of a refused connection is not served.
    if (refusals.onRequest(request.raw, reply.raw)) {
      done();
    } else {
      reply.hijack();
    }
  });
  return fastify;
}

/** Answers to errors of a connection by the code of Node's parser. */
const REFUSAL_BY_CODE: ReadonlyMap<string | undefined, Refusal> = new Map([
  [
    'ERR_HTTP_REQUEST_TIMEOUT',
    {
      kind: 'request-timeout',
      status: 408,
      detail: 'The request did not arrive in time.',
    },
  ],
  [
    'HPE_HEADER_OVERFLOW',
    {
      kind: 'too-large',
      status: 431,
      detail: 'The head of the request is too large.',
    },
  ],
]);

const MALFORMED: Refusal = {
  kind: 'bad-request',
  status: 400,
  detail: 'The request is not well-formed HTTP.',
};

/** The answer to bytes that are not HTTP, that are too many, or that don't arrive in time. */
function toMalformedAnswer({code}: NodeJS.ErrnoException): string {
  const {kind, status, detail} = REFUSAL_BY_CODE.get(code) ?? MALFORMED;
  const problem = createProblem(kind, status, detail);
  const body = JSON.stringify(problem);
  const head = [
    `HTTP/1.1 ${status} ${problem.title}`,
    `Content-Type: ${PROBLEM_MEDIA_TYPE}`,
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close',
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

// A page in a browser can reach loopback through a name that it controls.
function isLocalHostHeader(request: FastifyRequest): boolean {
  const {hostname} = request;
  const host = hostname.replace(/^\[|\]$/g, '');
  return host === 'localhost' || isLoopbackHost(host);
}

function refuseHost(reply: FastifyReply): FastifyReply {
  const detail = 'Without a token, only loopback addresses are served.';
  return sendProblem(reply, 'forbidden-host', 403, detail);
}

function toKind(status: number): ProblemKind {
  switch (status) {
    case 413:
      return 'too-large';
    case 415:
      return 'unsupported-media-type';
    default:
      return 'bad-request';
  }
}

function toMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
