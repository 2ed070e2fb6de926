/** A worker of the users' platform that answers a request as soon as it has its head. */

import {once} from 'node:events';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {parseHead} from './worker-request.js';

/** How the connection ends after the part of the answer. */
export type EarlyEnding =
  /** With a reset at once, or a moment later, while the rest of the request is under way. */
  | 'reset'
  | 'reset later'
  /** In order, and the rest of the request is read after it. */
  | 'end'
  /** In order, after the whole request was read. */
  | 'end after the upload';

/** What the worker answers. */
export interface EarlyAnswer {
  readonly status: string;
  /** Header lines that tell where the body ends, each with its line end. */
  readonly framing: string;
  readonly ending: EarlyEnding;
  /** Bytes after the head; a part of an answer unless stated. */
  readonly body?: string;
}

/** The body of the answer. */
export const EARLY_BODY = 'a part of an answer';

/** Header lines that tell where the body of an answer ends. */
const FRAMINGS: Readonly<Record<string, string>> = {
  'without a length': '',
  'of its length': `Content-Length: ${EARLY_BODY.length}\r\n`,
  'that closes': 'Connection: close\r\n',
  'in chunks that closes':
    'Transfer-Encoding: chunked\r\nConnection: close\r\n',
  'coded gzip': 'Transfer-Encoding: gzip\r\n',
  'coded identity': 'Transfer-Encoding: identity\r\n',
  'coded chunked, gzip': 'Transfer-Encoding: chunked, gzip\r\n',
  'coded chunked and gzip':
    'Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n',
};

/** Returns the header lines of a framing by its name in the features. */
export function toFraming(name: string): string {
  const framing = FRAMINGS[name];
  if (framing === undefined) {
    throw new Error(`no framing ${name}`);
  }
  return framing;
}

const HEAD_END = '\r\n\r\n';

/** Time from the answer to a later reset, in milliseconds. */
const RESET_LATER_MS = 5;

/** The worker. It answers load queries at once. */
export class EarlyWorker {
  readonly id: string;
  answer: EarlyAnswer;
  /** Status of its answers to load queries. */
  loadStatus = '200 OK';
  /** Requests that it has begun to read, without load queries. */
  requests = 0;
  /** Load queries that it got. */
  loadQueries = 0;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(id: string, answer: EarlyAnswer) {
    this.id = id;
    this.answer = answer;
    const options = {allowHalfOpen: true};
    this.#server = createServer(options, socket => this.#serve(socket));
  }

  async listen(): Promise<void> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach(socket => socket.destroy());
  }

  #serve(socket: Socket): void {
    let received: Buffer = Buffer.alloc(0);
    const read = (chunk: Buffer) => {
      received = Buffer.concat([received, chunk]);
      const headEnd = received.indexOf(HEAD_END);
      if (headEnd === -1) {
        return;
      }
      const head = received.subarray(0, headEnd).toString('latin1');
      const bodyBytes = received.length - headEnd - HEAD_END.length;
      received = Buffer.alloc(0);
      if (this.#answerLoad(socket, head)) {
        return;
      }
      socket.off('data', read);
      this.#answer(socket, head, bodyBytes);
    };
    this.#sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('data', read);
  }

  #answerLoad(socket: Socket, head: string): boolean {
    if (!head.startsWith('GET /load ')) {
      return false;
    }
    this.loadQueries += 1;
    socket.write(
      `HTTP/1.1 ${this.loadStatus}\r\nWasabidyke-Instance-Id: ${this.id}\r\nWasabidyke-Server-Load: 0,0,4,100\r\nContent-Length: 0${HEAD_END}`,
    );
    return true;
  }

  #answer(socket: Socket, head: string, bodyBytes: number): void {
    const {headers} = parseHead(head);
    const id = headers.get('wasabidyke-attempt-id') ?? '';
    const {status, framing, ending, body = EARLY_BODY} = this.answer;
    const signed = `Wasabidyke-Attempt-Id: ${id}\r\nWasabidyke-Server-Seal: seal-of-${this.id}\r\n`;
    const part = `HTTP/1.1 ${status}\r\n${signed}${framing}\r\n${body}`;
    this.requests += 1;
    if (ending === 'end') {
      socket.resume().end(part);
      return;
    }
    if (ending === 'end after the upload') {
      let missing = Number(headers.get('content-length') ?? 0) - bodyBytes;
      const endIfRead = () => missing <= 0 && socket.end();
      socket.write(part);
      socket.on('data', chunk => {
        missing -= chunk.length;
        endIfRead();
      });
      endIfRead();
      return;
    }
    const reset = () => socket.resetAndDestroy();
    socket.pause();
    socket.write(part, () =>
      ending === 'reset' ? reset() : setTimeout(reset, RESET_LATER_MS),
    );
  }
}
