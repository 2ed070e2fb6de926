/** The HTTP listener for callers, with the bounds that hold before any configuration. */

import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionRefusals} from '@wasabidyke/shared';

/** Upper bound of header sizes in Node's parser; the configured limit applies below it. */
const MAXIMUM_HEADER_BYTES = 65_536;

/** Timeouts before the first configuration. */
const INITIAL_IDLE_TIMEOUT_MS = 15_000;
const INITIAL_HEADER_TIMEOUT_MS = 5_000;

/** Interval of Node's check for connections that exceed a timeout, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

/** A rule of HTTP that a request breaks: it has no host, or an unknown `Expect`. */
export type ProtocolProblem = 'no-host' | 'unknown-expectation';

/** Options of `createCallerListener`. */
export interface CallerListenerOptions {
  readonly refusals: ConnectionRefusals;
  readonly onRequest: RequestListener;
  /** Called with the answer to be written to a request that breaks a rule of HTTP. */
  readonly onProtocolError: (
    response: ServerResponse,
    problem: ProtocolProblem,
  ) => void;
}

/**
 * Creates the listener. It is Node's HTTP server directly: a framework would
 * double the duration of a restart. Requests of refused connections are ignored.
 */
export function createCallerListener({
  refusals,
  onRequest,
  onProtocolError,
}: CallerListenerOptions): Server {
  const takes = (request: IncomingMessage, response: ServerResponse) => {
    const isTaken = refusals.onRequest(request, response);
    if (isTaken && lacksHost(request)) {
      onProtocolError(response, 'no-host');
      return false;
    }
    return isTaken;
  };
  const server = createServer(
    {
      keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
      requestTimeout: 0,
      headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      // It is checked here, so that the answer is logged.
      requireHostHeader: false,
    },
    (request, response) => {
      if (takes(request, response)) {
        onRequest(request, response);
      }
    },
  );
  server.on('checkContinue', (request, response) => {
    if (takes(request, response)) {
      response.writeContinue();
      onRequest(request, response);
    }
  });
  server.on('checkExpectation', (request, response) => {
    if (takes(request, response)) {
      onProtocolError(response, 'unknown-expectation');
    }
  });
  // Each pipelined request listens to its connection.
  server.on('connection', socket => socket.setMaxListeners(0));
  server.on('clientError', (error, socket) =>
    refusals.onError(error, socket as Socket),
  );
  return server;
}

/** Whether a request lacks the host that RFC 9112 demands of HTTP/1.1. */
function lacksHost({httpVersion, headers}: IncomingMessage): boolean {
  return httpVersion === '1.1' && headers.host === undefined;
}
