/** Pool of HTTP connections to one upstream. */

import type {Socket} from 'node:net';
import {endHeldAnswer} from '@wasabidyke/shared';
import {buildConnector, Client, type Dispatcher} from 'undici';

/** Time limit for opening a connection, in milliseconds: three round trips between regions and a delayed handshake. */
const CONNECT_TIMEOUT_MS = 300;

/** How long an idle connection stays open if the upstream states no `Keep-Alive` timeout, in milliseconds. */
const IDLE_TIMEOUT_MS = 20_000;

/** An idle connection is closed this long before the timeout that the upstream states, in milliseconds: a request sent while the upstream closes would be lost. */
const IDLE_TIMEOUT_MARGIN_MS = 1_500;

/** How a connection ended: the upstream or the network broke it, or the client closed it by itself, such as after an idle time or an answer that says so. */
export type LossCause = 'broken' | 'closed';

/** Code with which the client closes a connection on its own, as it does when the connection was idle for long. */
const OWN_CLOSE_CODE = 'UND_ERR_INFO';

/** Written after the upstream's FIN to detect a reset; servers ignore empty lines between requests. */
const PROBE_LINE = '\r\n';

/** Limit of the head of an answer, in bytes: that of the client. */
const MAXIMUM_HEAD_BYTES = 16_384;

const HEAD_END = '\r\n\r\n';

/** System error codes of a connection that the upstream or the network broke. */
const RESET_CODES: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'EPIPE',
  'ECONNABORTED',
  'ETIMEDOUT',
]);

/** A half-open connection can still be written to, which distinguishes an orderly close from a reset. */
const connect = buildConnector({
  timeout: CONNECT_TIMEOUT_MS,
  allowHalfOpen: true,
});

/** A connection to an upstream that carries one request at a time. */
export class UpstreamConnection {
  readonly #client: Client;
  #isBroken = false;
  #isReset = false;
  #isUsed = false;
  #socket: Socket | undefined;
  #onEnd: () => void = () => {};
  /** Whether the head of an answer is expected and none has been checked. */
  #isHeadDue = false;

  /** @param onLost Called when the connection ends, unless by `destroy`. */
  constructor(origin: string, onLost: (cause: LossCause) => void) {
    this.#client = new Client(origin, {
      pipelining: 1,
      connect: (options, callback) => this.#connect(options, callback),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
    });
    this.#client.on('disconnect', (_origin, _targets, error) => {
      const wasBroken = this.#isBroken;
      this.#isBroken = true;
      if (!wasBroken) {
        onLost(error.code === OWN_CLOSE_CODE ? 'closed' : 'broken');
      }
    });
  }

  /** Whether the connection is closed; the client would open another one for the next request. */
  get isBroken(): boolean {
    return this.#isBroken || this.#client.destroyed;
  }

  /** Whether a request was sent on the connection before. */
  get isUsed(): boolean {
    return this.#isUsed;
  }

  /** Bytes received on the connection so far. */
  get receivedBytes(): number {
    return this.#socket?.bytesRead ?? 0;
  }

  /** Whether a reset ended the connection: an answer delimited by its close is then truncated. */
  get isReset(): boolean {
    return this.#isReset;
  }

  /** @param onEnd Called when the connection ends in order, before the client ends the answer. */
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
    onEnd: () => void = () => {},
  ): void {
    this.#onEnd = onEnd;
    this.#isHeadDue = true;
    this.#isUsed = true;
    this.#client.dispatch(options, handler);
  }

  /** Called when the head of an answer was received. */
  onHead(): void {
    this.#isHeadDue = false;
  }

  /**
   * Closes the connection when more than a head may have has been received
   * without its end. The client finds out as well, but only after it has read
   * all lines that were received with the first one too many, which takes long.
   */
  #checkHead(socket: Socket): void {
    if (!this.#isHeadDue || socket.readableLength <= MAXIMUM_HEAD_BYTES) {
      return;
    }
    this.#isHeadDue = false;
    const received = socket.read() as Buffer | null;
    if (received === null) {
      return;
    }
    const head = received.subarray(0, MAXIMUM_HEAD_BYTES);
    if (head.includes(HEAD_END)) {
      socket.unshift(received);
    } else {
      socket.destroy(new Error('the head of the answer has no end'));
    }
  }

  /**
   * The client treats some resets as the end of an answer, and the event loop
   * reports an orderly close when a reset closely follows data. So resets are
   * recorded before the client handles them, and each end is probed by a write.
   */
  #connect(
    options: buildConnector.Options,
    callback: buildConnector.Callback,
  ): void {
    connect(options, (...result) => {
      const socket = result[1];
      this.#socket = socket ?? undefined;
      socket?.on('readable', () => this.#checkHead(socket));
      socket?.once('error', error => this.#recordReset(error));
      socket?.once('end', () => {
        socket.write(PROBE_LINE, error => this.#recordReset(error));
        closeInNextTurn(socket);
      });
      if (socket) {
        endHeldAnswer(socket, () => this.#onEnd());
      }
      callback(...result);
    });
  }

  /** Ignores other errors: those come from the client itself, such as when it closes the connection. */
  #recordReset(error: NodeJS.ErrnoException | null | undefined): void {
    if (error?.code !== undefined && RESET_CODES.has(error.code)) {
      this.#isReset = true;
    }
  }

  /**
   * Resets the connection. Bytes that have not reached the upstream are
   * dropped; after an orderly close they would still be delivered once a link
   * that is down is back.
   */
  reset(): void {
    this.#socket?.resetAndDestroy();
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.#isBroken = true;
    // Requests in flight fail through their handlers; the promise adds nothing.
    this.#client
      .destroy(new Error('connection destroyed by its pool'))
      .catch(() => {});
  }
}

/**
 * Keeps a socket open until the next turn of the event loop. The client closes
 * it as soon as an answer ends, and with it what is still being written, whose
 * failure in this turn tells that a reset ended the connection.
 */
function closeInNextTurn(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = error => {
    setImmediate(() => destroy(error));
    return socket;
  };
}

/** Idle and busy connections to one upstream, up to a limit. */
export class ConnectionPool {
  readonly #origin: string;
  readonly #onLost: (cause: LossCause) => void;
  readonly #idleConnections: UpstreamConnection[] = [];
  readonly #openConnections = new Set<UpstreamConnection>();
  #limit: number;
  #isClosed = false;

  /**
   * @param onLost Called when a connection ends that the pool didn't close.
   * @throws TypeError if the address is none, now rather than with the first connection.
   */
  constructor(
    address: string,
    limit: number,
    onLost: (cause: LossCause) => void = () => {},
  ) {
    this.#onLost = onLost;
    this.#origin = new URL(`http://${address}`).origin;
    this.#limit = limit;
  }

  /** Number of idle connections. */
  get idleCount(): number {
    return this.#idleConnections.length;
  }

  /** Whether the limit of open connections is reached. */
  get isFull(): boolean {
    return this.#openConnections.size >= this.#limit;
  }

  /** Takes the most recently used idle connection, or opens a new one; undefined at the limit. */
  take(): UpstreamConnection | undefined {
    return this.#take(() => this.#idleConnections.pop());
  }

  /** Takes the connection that was idle for longest, or opens a new one; undefined at the limit. A load query on it checks the connection and keeps it open. */
  takeLongestIdle(): UpstreamConnection | undefined {
    return this.#take(() => this.#idleConnections.shift());
  }

  #take(
    takeIdle: () => UpstreamConnection | undefined,
  ): UpstreamConnection | undefined {
    for (;;) {
      const connection = takeIdle();
      if (connection === undefined) {
        break;
      }
      if (!connection.isBroken) {
        return connection;
      }
      this.#drop(connection);
    }
    return this.isFull ? undefined : this.#open();
  }

  /** Opens a connection beyond the limit: after a crash the others may not have been dropped yet. Undefined once the pool is closed. */
  openExtra(): UpstreamConnection | undefined {
    return this.#isClosed ? undefined : this.#open();
  }

  #open(): UpstreamConnection {
    const connection = new UpstreamConnection(this.#origin, this.#onLost);
    this.#openConnections.add(connection);
    return connection;
  }

  /** Returns a connection to the pool after its request. */
  release(connection: UpstreamConnection): void {
    if (connection.isBroken) {
      this.#drop(connection);
      return;
    }
    this.#idleConnections.push(connection);
  }

  /** Closes a connection whose state is unknown. */
  discard(connection: UpstreamConnection): void {
    this.#drop(connection);
  }

  /** Closes the idle connections now, and allows no new ones; busy ones are closed by `discard`. */
  close(): void {
    this.#isClosed = true;
    this.#limit = 0;
    for (const connection of this.#idleConnections.splice(0)) {
      this.#drop(connection);
    }
  }

  #drop(connection: UpstreamConnection): void {
    this.#openConnections.delete(connection);
    connection.destroy();
  }
}
