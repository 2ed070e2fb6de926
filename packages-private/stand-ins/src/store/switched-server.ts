/** An HTTP server that can refuse connections for a while and then listen at the same address again. */

import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Splits `host:port`. */
export function parseAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon);
  return {host, port: Number(address.slice(colon + 1))};
}

/** An HTTP server that listens, stops and listens again. */
export class SwitchedServer {
  readonly server: Server;
  #host: string;
  #port: number;

  constructor(address: string, listener: RequestListener) {
    const {host, port} = parseAddress(address);
    this.#host = host;
    this.#port = port;
    this.server = createServer(listener);
  }

  /** The address, `host:port`; complete once it has listened. */
  get address(): string {
    return `${this.#host}:${this.#port}`;
  }

  /** Accepts connections. */
  async open(): Promise<void> {
    if (this.server.listening) {
      return;
    }
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.#port, this.#host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    this.#port = (this.server.address() as AddressInfo).port;
  }

  /** Drops every connection. */
  drop(): void {
    this.server.closeAllConnections();
  }

  /** Refuses connections and drops those that stand. */
  async shut(): Promise<void> {
    if (!this.server.listening) {
      return;
    }
    const closed = new Promise<void>(resolve => {
      this.server.close(() => resolve());
    });
    this.server.closeAllConnections();
    await closed;
  }
}
