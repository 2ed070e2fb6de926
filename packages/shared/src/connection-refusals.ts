/**
 * Answers that callers get outside the request path: to bytes that are no
 * request, and when a request doesn't arrive in time. A caller takes such an
 * answer for that to its request, so it is the last one of its connection, and
 * whatever the parser yields there afterwards must not run.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {onceClosed} from './response-close.js';

/** Options of `ConnectionRefusals`. */
export interface ConnectionRefusalsOptions {
  /** The answer to an error, as it is written to the connection. */
  readonly toAnswer: (error: NodeJS.ErrnoException) => string;
  readonly onRefused?: (refusal: ConnectionRefusal) => void;
  /** Called with a request that arrived after its connection was refused. */
  readonly onIgnored?: (request: IncomingMessage) => void;
}

/** An error of Node's parser. */
export interface ParserError extends NodeJS.ErrnoException {
  readonly reason?: string;
  /** Offset in `rawPacket` at which the parser gave up, in bytes. */
  readonly bytesParsed?: number;
  /** The bytes that the parser was reading. */
  readonly rawPacket?: Buffer;
}

/** What became of a connection that is refused. */
export interface ConnectionRefusal {
  readonly error: ParserError;
  readonly address: string | undefined;
  /** Complete requests that are still at work; the connection closes after their answers. */
  readonly unanswered: number;
  /** Requests that had arrived on the connection, at least their heads. */
  readonly arrived: number;
  /** Whether the body of a request was still arriving. */
  readonly isReading: boolean;
  /** Bytes that were read on the connection. */
  readonly bytesRead: number;
  /** Whether the caller closed its side within a request, which gets no answer. */
  readonly isCut: boolean;
}

interface Connection {
  readonly unanswered: Set<IncomingMessage>;
  /** Number of requests that have arrived, at least their heads. */
  arrived: number;
  isRefused: boolean;
}

const TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
const RESET_CODE = 'ECONNRESET';
const CUT_CODE = 'HPE_INVALID_EOF_STATE';

/** Time for the rest of a request of which more has arrived when its time is over, in milliseconds: as long as Node's checks are apart. */
const REST_WITHIN_MS = 1_000;

/** Time for a caller to read the answer and to close its connection, in milliseconds: several round trips between regions. */
const CLOSE_WITHIN_MS = 2_000;

/** Refuses connections, and tells which of their requests may still be served. */
export class ConnectionRefusals {
  readonly #options: ConnectionRefusalsOptions;
  readonly #connections = new WeakMap<Socket, Connection>();

  constructor(options: ConnectionRefusalsOptions) {
    this.#options = options;
  }

  /** Called with each request before it is served. Returns whether it may be. */
  onRequest(request: IncomingMessage, response: ServerResponse): boolean {
    const {socket} = request;
    const connection = this.#find(socket);
    if (connection.isRefused) {
      this.#options.onIgnored?.(request);
      return false;
    }
    connection.arrived += 1;
    connection.unanswered.add(request);
    onceClosed(response, () => {
      connection.unanswered.delete(request);
      if (connection.isRefused && countComplete(connection) === 0) {
        this.#close(socket);
      }
    });
    return true;
  }

  /** Whether a connection was refused: it closes after the answers to its earlier requests. */
  isRefused(socket: Socket): boolean {
    return this.#connections.get(socket)?.isRefused === true;
  }

  /** Takes an error of Node's parser, as the event `clientError` reports it. */
  onError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === RESET_CODE) {
      socket.destroy();
    } else if (error.code === TIMEOUT_CODE) {
      this.#awaitRequest(error, socket);
    } else {
      this.#refuse(error, socket);
    }
  }

  /**
   * Refuses a connection unless its request has arrived by now. Timers run
   * before arrived bytes are read, so that after a pause of the process the
   * request may lie in the buffer of the socket.
   */
  #awaitRequest(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#find(socket);
    const {arrived} = connection;
    const {bytesRead} = socket;
    const reading = [...connection.unanswered].find(({complete}) => !complete);
    const judge = (mayTakeLonger: boolean) => {
      const hasArrived = reading
        ? reading.complete
        : connection.arrived > arrived;
      if (hasArrived || socket.destroyed) {
        return;
      }
      if (mayTakeLonger && socket.bytesRead > bytesRead) {
        // The next verdict comes after a read as well.
        const later = () => setImmediate(judge, false);
        setTimeout(later, REST_WITHIN_MS).unref();
      } else {
        this.#refuse(error, socket);
      }
    };
    setImmediate(judge, true);
  }

  #refuse(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#find(socket);
    if (connection.isRefused) {
      return;
    }
    connection.isRefused = true;
    // What has arrived of a cut request may be well-formed, and its caller has left.
    const isCut = error.code === CUT_CODE;
    const unanswered = countComplete(connection);
    this.#options.onRefused?.({
      error,
      address: socket.remoteAddress,
      unanswered,
      arrived: connection.arrived,
      isReading: connection.unanswered.size > unanswered,
      bytesRead: socket.bytesRead,
      isCut,
    });
    if (unanswered > 0) {
      return;
    }
    if (!isCut) {
      socket.write(this.#options.toAnswer(error));
    }
    this.#close(socket);
  }

  /** Ends this side; the connection is not destroyed at once, because unread bytes would reset it before the answer is read. */
  #close(socket: Socket): void {
    socket.end();
    const timer = setTimeout(() => socket.destroy(), CLOSE_WITHIN_MS);
    timer.unref();
    socket.once('close', () => clearTimeout(timer));
  }

  #find(socket: Socket): Connection {
    const connection = this.#connections.get(socket) ?? {
      unanswered: new Set<IncomingMessage>(),
      arrived: 0,
      isRefused: false,
    };
    this.#connections.set(socket, connection);
    return connection;
  }
}

/** Number of unanswered requests that have arrived whole. */
function countComplete({unanswered}: Connection): number {
  return [...unanswered].filter(({complete}) => complete).length;
}
