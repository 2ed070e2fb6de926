/** Connections to one upstream, each of which carries one request at a time. */

import {buildConnector, Client, type Dispatcher} from 'undici';

/** Time allowed to open a connection, in milliseconds: three round trips between regions and a handshake that waits. */
const CONNECT_TIMEOUT_MS = 300;

/** How long an idle connection is kept if the upstream states no time, in milliseconds. */
const IDLE_MS = 20_000;

/** Margin before the time that the upstream states: a request that crosses its close would be lost. */
const IDLE_MARGIN_MS = 1_500;

/** Sent when the other side has ended; servers pass over empty lines between requests. */
const PROBE_LINE = '\r\n';

/** Errors by which the system tells that the other side broke off. */
const RESET_CODES: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'EPIPE',
  'ECONNABORTED',
  'ETIMEDOUT',
]);

/** Half-open connections can still be written to, which tells an ordered end from a reset. */
const connect = buildConnector({
  timeout: CONNECT_TIMEOUT_MS,
  allowHalfOpen: true,
});

/** A connection that carries one request at a time. */
export class UpstreamConnection {
  readonly #client: Client;
  #isBroken = false;
  #isReset = false;

  constructor(origin: string) {
    this.#client = new Client(origin, {
      pipelining: 1,
      connect: (options, callback) => this.#connect(options, callback),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MS,
      keepAliveMaxTimeout: IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    });
    this.#client.on('disconnect', () => (this.#isBroken = true));
  }

  /** Whether it was lost; its next request would open another one. */
  get isBroken(): boolean {
    return this.#isBroken || this.#client.destroyed;
  }

  /** Whether an error ended it: an answer that ends with the connection is then cut. */
  get isReset(): boolean {
    return this.#isReset;
  }

  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.#client.dispatch(options, handler);
  }

  /**
   * The client takes some resets for the end of an answer, and so does the
   * event loop when a reset follows data closely: it reports an ordered end.
   * So resets are noted before the client sees them, and an end is probed.
   */
  #connect(
    options: buildConnector.Options,
    callback: buildConnector.Callback,
  ): void {
    connect(options, (...result) => {
      const socket = result[1];
      socket?.once('error', error => this.#noteReset(error));
      socket?.once('end', () => {
        socket.write(PROBE_LINE, error => this.#noteReset(error));
      });
      callback(...result);
    });
  }

  /** Other errors are the client's own, such as its closing of the connection. */
  #noteReset(error: NodeJS.ErrnoException | null | undefined): void {
    if (error?.code !== undefined && RESET_CODES.has(error.code)) {
      this.#isReset = true;
    }
  }

  /** Closes it at once. */
  destroy(): void {
    this.#isBroken = true;
    // Requests under way are told by their handlers; the promise says nothing more.
    this.#client.destroy(new Error('connection given up')).catch(() => {});
  }
}

/** The connections to one upstream. */
export class ConnectionPool {
  readonly #origin: string;
  readonly #idle: UpstreamConnection[] = [];
  readonly #open = new Set<UpstreamConnection>();
  #limit: number;

  constructor(address: string, limit: number) {
    this.#origin = `http://${address}`;
    this.#limit = limit;
  }

  get idle(): number {
    return this.#idle.length;
  }

  /** Whether no further connection may be opened. */
  get isFull(): boolean {
    return this.#open.size >= this.#limit;
  }

  /** The idle connection that was used last, or a new one; undefined at the limit. */
  take(): UpstreamConnection | undefined {
    return this.#take(() => this.#idle.pop());
  }

  /** The idle connection that was idle for longest, or a new one: it shows whether it still works, and stays open. */
  takeOldest(): UpstreamConnection | undefined {
    return this.#take(() => this.#idle.shift());
  }

  #take(
    next: () => UpstreamConnection | undefined,
  ): UpstreamConnection | undefined {
    for (;;) {
      const connection = next();
      if (connection === undefined) {
        break;
      }
      if (!connection.isBroken) {
        return connection;
      }
      this.#drop(connection);
    }
    if (this.isFull) {
      return undefined;
    }
    const connection = new UpstreamConnection(this.#origin);
    this.#open.add(connection);
    return connection;
  }

  /** Gives a connection back after its request. */
  give(connection: UpstreamConnection): void {
    if (connection.isBroken) {
      this.#drop(connection);
      return;
    }
    this.#idle.push(connection);
  }

  /** Closes a connection whose state isn't known. */
  discard(connection: UpstreamConnection): void {
    this.#drop(connection);
  }

  /** Closes the idle connections now; the others close with `discard` or `give`. */
  close(): void {
    this.#limit = 0;
    for (const connection of this.#idle.splice(0)) {
      this.#drop(connection);
    }
  }

  #drop(connection: UpstreamConnection): void {
    this.#open.delete(connection);
    connection.destroy();
  }
}
