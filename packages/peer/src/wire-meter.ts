/** Counts the bytes on the sockets between entries. */

import type {Socket} from 'node:net';
import type {ByteScope, PeerMetrics} from './peer-metrics.js';

interface MeteredSocket {
  scope: ByteScope;
  bytesIn: number;
  bytesOut: number;
}

/** Counts the bytes on the sockets between entries. */
export class WireMeter {
  readonly #metrics: PeerMetrics;
  readonly #sockets = new Map<Socket, MeteredSocket>();

  constructor(metrics: PeerMetrics) {
    this.#metrics = metrics;
  }

  /** Number of open sockets. */
  get openSockets(): number {
    return this.#sockets.size;
  }

  /** Counts a socket's bytes until it closes. */
  add(socket: Socket, scope: ByteScope): void {
    this.#sockets.set(socket, {scope, bytesIn: 0, bytesOut: 0});
    socket.once('close', () => {
      this.#updateCounters(socket);
      this.#sockets.delete(socket);
    });
  }

  /** Sets the scope of a socket once the region of its other end is known. */
  setScope(socket: Socket, scope: ByteScope): void {
    const metered = this.#sockets.get(socket);
    if (metered !== undefined) {
      metered.scope = scope;
    }
  }

  /** Adds the bytes since the last call to the counters. */
  updateCounters(): void {
    for (const socket of this.#sockets.keys()) {
      this.#updateCounters(socket);
    }
  }

  #updateCounters(socket: Socket): void {
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
