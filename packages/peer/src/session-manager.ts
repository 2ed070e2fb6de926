/** The HTTP/2 connection to one peer. */

import type {
  ClientHttp2Session,
  ClientHttp2Stream,
  Http2Session,
} from 'node:http2';
import type {Socket} from 'node:net';
import {Http2SessionManager} from '@connectrpc/connect-node';

/**
 * Keeps one connection to a peer. A connection that ends while no call uses it
 * may still report an error after the library has let go of it; the error is
 * heard here, since an unheard one would end the process.
 */
export class PeerSessionManager extends Http2SessionManager {
  readonly #heard = new WeakSet<Http2Session>();

  /** @param dial Opens the connection's socket. */
  constructor(baseUrl: string, dial: () => Socket) {
    super(baseUrl, {}, {createConnection: dial});
  }

  override async request(
    ...request: Parameters<Http2SessionManager['request']>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(...request);
    this.#hearErrors(stream.session);
    return stream;
  }

  #hearErrors(session: ClientHttp2Session | Http2Session | undefined): void {
    if (session !== undefined && !this.#heard.has(session)) {
      this.#heard.add(session);
      session.on('error', () => undefined);
    }
  }
}
