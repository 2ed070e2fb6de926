/** Counts the bytes on the sockets between entries. */

import type {Socket} from 'node:net';
import type {ByteScope, PeerMetrics} from './peer-metrics.js';

interface Metered {
  scope: ByteScope;
  bytesIn: number;
  bytesOut: number;
}

/** Counts the bytes on the sockets between entries. */
export class WireMeter {
  readonly #metrics: PeerMetrics;
  readonly #sockets = new Map<Socket, Metered>();

  constructor(metrics: PeerMetrics) {
    this.#metrics = metrics;
  }

  /** Sockets that are open. */
  get open(): number {
    return this.#sockets.size;
  }

  /** Counts a socket's bytes until it closes. */
  add(socket: Socket, scope: ByteScope): void {
    this.#sockets.set(socket, {scope, bytesIn: 0, bytesOut: 0});
    socket.once('close', () => {
      this.#readSocket(socket);
      this.#sockets.delete(socket);
    });
  }

  /** The region at the other end of a socket became known. */
  assign(socket: Socket, scope: ByteScope): void {
    const metered = this.#sockets.get(socket);
    if (metered !== undefined) {
      metered.scope = scope;
    }
  }

  /** Brings the counters up to date. */
  read(): void {
    for (const socket of this.#sockets.keys()) {
      this.#readSocket(socket);
    }
  }

  #readSocket(socket: Socket): void {
    const metered = this.#sockets.get(socket);
    if (metered === undefined) {
      return;
    }
    const {bytesRead, bytesWritten} = socket;
    const {scope} = metered;
    this.#metrics.bytes('in', scope).add(bytesRead - metered.bytesIn);
    this.#metrics.bytes('out', scope).add(bytesWritten - metered.bytesOut);
    metered.bytesIn = bytesRead;
    metered.bytesOut = bytesWritten;
  }
}
