/** A client on one kept connection, which may send further safe requests before the first one is answered. */

import {connect} from 'node:net';
import {nextId, now} from './harness.mjs';

const HEAD_END = '\r\n\r\n';

export class RawClient {
  calls = [];
  #host;
  #socket;
  #unanswered = [];
  #head = Buffer.alloc(0);
  #bodyBytesLeft = 0;
  #waiting = [];

  constructor(port, host) {
    this.#host = host;
    this.#socket = connect(port, '127.0.0.1');
    this.#socket.setNoDelay(true);
    this.#socket.on('data', chunk => this.#onData(chunk));
    this.#socket.on('error', error => (this.cause = error.code));
    this.#socket.on('close', () => this.#onClose());
  }

  /** Whether an answer has said that the connection closes behind it. */
  isClosing = false;
  isClosed = false;

  get canSend() {
    return !this.isClosing && !this.isClosed;
  }

  send(path, deadlineMs) {
    const id = nextId();
    const call = {id, path, sentAtMs: now(), bytes: 0};
    this.calls.push(call);
    this.#unanswered.push(call);
    this.#socket.write(
      `GET ${path} HTTP/1.1\r\nHost: ${this.#host}\r\nWasabidyke-Attempt-Id: ${id}\r\nWasabidyke-Request-Deadline-Ms: ${deadlineMs}\r\n\r\n`,
    );
    return call;
  }

  /** Resolves once all requests are answered, or the connection has ended. */
  settled() {
    return this.#unanswered.length === 0
      ? Promise.resolve()
      : new Promise(resolve => this.#waiting.push(resolve));
  }

  close() {
    this.#socket.destroy();
  }

  #onClose() {
    this.isClosed = true;
    for (const call of this.#unanswered.splice(0)) {
      call.endedAtMs = now();
      call.lost = this.cause ?? 'closed';
      call.isBehindClose = this.isClosing && call.status === undefined;
    }
    this.#wake();
  }

  #wake() {
    this.#waiting.splice(0).forEach(resolve => resolve());
  }

  #onData(chunk) {
    let rest = chunk;
    while (rest.length > 0) {
      const call = this.#unanswered[0];
      if (this.#bodyBytesLeft > 0) {
        const taken = Math.min(this.#bodyBytesLeft, rest.length);
        call.bytes += taken;
        this.#bodyBytesLeft -= taken;
        rest = rest.subarray(taken);
      } else {
        this.#head = Buffer.concat([this.#head, rest]);
        const end = this.#head.indexOf(HEAD_END);
        if (end === -1) {
          return;
        }
        const head = this.#head.subarray(0, end).toString('latin1');
        rest = this.#head.subarray(end + HEAD_END.length);
        this.#head = Buffer.alloc(0);
        if (call === undefined) {
          this.unasked ??= head;
          return;
        }
        call.status = Number(head.slice(9, 12));
        this.#bodyBytesLeft = Number(
          /\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0,
        );
        this.isClosing ||= /\r\nconnection: *close/i.test(head);
      }
      if (this.#bodyBytesLeft === 0) {
        call.endedAtMs = now();
        call.isComplete = true;
        this.#unanswered.shift();
        if (this.#unanswered.length === 0) {
          this.#wake();
        }
      }
    }
  }
}
