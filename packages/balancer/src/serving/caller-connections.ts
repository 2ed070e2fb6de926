/** Connections of callers that are to be closed after their last answer. */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Counts the unanswered requests of each connection. */
export class CallerConnections {
  readonly #unanswered = new WeakMap<Socket, number>();
  #isClosing = false;

  /** Called when a request has arrived. */
  onRequest(socket: Socket): void {
    this.#unanswered.set(socket, (this.#unanswered.get(socket) ?? 0) + 1);
  }

  /** Called when a request is answered, or its connection is closed. */
  onAnswered(socket: Socket): void {
    this.#unanswered.set(socket, (this.#unanswered.get(socket) ?? 1) - 1);
  }

  /** Closes each connection after its next answer from now on. */
  closeAll(): void {
    this.#isClosing = true;
  }

  /** Called before an answer: closes its connection after it, unless further requests on it are already being served. */
  closeIfLast(response: ServerResponse): void {
    const isLast = (this.#unanswered.get(response.req.socket) ?? 1) <= 1;
    if (this.#isClosing && isLast) {
      response.setHeader('connection', 'close');
    }
  }
}
