/** The HTTP/2 connection to one peer. */

import {
  connect,
  type ClientHttp2Session,
  type ClientHttp2Stream,
  type ClientSessionRequestOptions,
  type Http2Session,
  type OutgoingHttpHeaders,
} from 'node:http2';
import type {Socket} from 'node:net';
import {Code, ConnectError} from '@connectrpc/connect';

/** Calls end by their deadlines; a connection that is still there after this long is torn down. */
const CLOSE_GRACE_MS = 2_000;

/**
 * Closes a connection once the calls on it have ended. Node 20 may end the
 * process with a failed assertion when a session is destroyed under open streams.
 */
export function closeSession(session: Http2Session): void {
  if (session.destroyed) {
    return;
  }
  const timer = setTimeout(() => session.destroy(), CLOSE_GRACE_MS);
  session.once('close', () => clearTimeout(timer));
  session.close();
}

/**
 * Keeps one connection to a peer, for connect's transport. The transport's own
 * manager is not used: it spins without end when a connection closes in the
 * same moment in which it opened, as behind a link that is cut.
 */
export class PeerSession {
  /** Where it connects, as the origin of a URL. */
  readonly authority: string;
  readonly #dial: () => Socket;
  #session: ClientHttp2Session | undefined;
  #opening: Promise<ClientHttp2Session> | undefined;

  /** @param dial Opens the connection's socket. */
  constructor(authority: string, dial: () => Socket) {
    this.authority = authority;
    this.#dial = dial;
  }

  /** Sends a request, on a new connection where none is open. */
  async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    const session = await this.#open();
    const request = {...headers, ':method': method, ':path': path};
    return session.request(request, options);
  }

  /** Part of what the transport expects; deadlines stand in place of keep-alive. */
  notifyResponseByteRead(): void {
    // Nothing depends on it.
  }

  /** Closes the connection once the calls on it have ended. */
  close(): void {
    if (this.#session !== undefined) {
      closeSession(this.#session);
    }
    this.#session = undefined;
    this.#opening = undefined;
  }

  #open(): Promise<ClientHttp2Session> {
    const session = this.#session;
    const isUsable =
      session !== undefined && !session.closed && !session.destroyed;
    if (!isUsable || this.#opening === undefined) {
      this.#opening = this.#connect();
    }
    return this.#opening;
  }

  #connect(): Promise<ClientHttp2Session> {
    const session = connect(this.authority, {createConnection: this.#dial});
    this.#session = session;
    return new Promise((resolve, reject) => {
      const message = 'The connection closed before it was open.';
      session.once('connect', () => resolve(session));
      session.once('close', () =>
        reject(new ConnectError(message, Code.Unavailable)),
      );
      session.on('error', error =>
        reject(ConnectError.from(error, Code.Unavailable)),
      );
    });
  }
}
