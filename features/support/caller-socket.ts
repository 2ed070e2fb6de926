/** A caller's connection that is written byte by byte. */

import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Bytes that are no request. */
export const NO_REQUEST = '\u0001\u0002 nothing\r\n\r\n';

/** Time in which a connection is accepted, in milliseconds. */
const ACCEPTED_WITHIN_MS = 100;

/** A caller's connection, and what was received on it. */
export class CallerSocket {
  received = '';
  isEnded = false;
  /** Time from the connection to the first byte of an answer, in milliseconds. */
  answeredAfterMs = Infinity;
  readonly #socket: Socket;
  readonly #startMs = performance.now();

  constructor(port: number, host = '127.0.0.1') {
    this.#socket = connect({port, host, allowHalfOpen: true});
    this.#socket.setNoDelay();
    this.#socket.on('data', chunk => {
      this.answeredAfterMs = Math.min(
        this.answeredAfterMs,
        performance.now() - this.#startMs,
      );
      this.received += chunk.toString('latin1');
    });
    this.#socket.on('end', () => (this.isEnded = true));
    this.#socket.on('error', () => (this.isEnded = true));
  }

  /** Statuses of the answers, in their order. */
  get statuses(): readonly number[] {
    const heads = this.received.matchAll(/^HTTP\/1.1 (\d+) /gm);
    return [...heads].map(([, status]) => Number(status));
  }

  /** Waits until the connection is accepted. */
  async opened(): Promise<void> {
    await once(this.#socket, 'connect');
    await sleep(ACCEPTED_WITHIN_MS);
  }

  /** Hands bytes to the system before it returns. */
  write(text: string): void {
    if (!this.#socket.destroyed) {
      this.#socket.write(text);
    }
  }

  close(): void {
    this.#socket.destroy();
  }
}
