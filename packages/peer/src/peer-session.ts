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

/** Calls end by their deadlines; a connection that is still open after this time is destroyed. */
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
 * Session manager for Connect's transport that keeps one connection to a peer.
 * Connect's own manager is not used: it loops forever when a connection closes
 * at the moment it opens, for example when the network link is cut.
 */
export class PeerSession {
  /** Origin of the peer's URL. */
  readonly authority: string;
  readonly #dial: () => Socket;
  #session: ClientHttp2Session | undefined;
  #opening: Promise<ClientHttp2Session> | undefined;

  /** @param dial Opens the connection's socket. */
  constructor(authority: string, dial: () => Socket) {
    this.authority = authority;
    this.#dial = dial;
  }

  /** Sends a request, opening a connection if none is open. */
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

  /** Required by the transport's interface; deadlines are used instead of keep-alive. */
  notifyResponseByteRead(): void {
    // Not needed without keep-alive.
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
      const message =
        'The connection to the peer closed before it was established.';
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
