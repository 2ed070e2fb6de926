/** Where the answer of an attempt goes. */

import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {toCallerHeaders, type HeaderFields} from './headers.js';

/** Lets a sink hold back an upstream that sends faster than the sink takes. */
export interface FlowControl {
  pause(): void;
  resume(): void;
}

/** Takes the answer of one attempt after another, until one is whole. */
export abstract class AnswerSink {
  /** Whether any part of an answer can no longer be taken back. */
  abstract get isCommitted(): boolean;

  /** An answer begins. */
  abstract onHead(
    status: number,
    headers: IncomingHttpHeaders,
    flow: FlowControl,
  ): void;

  /** A part of the body. */
  abstract onData(chunk: Buffer): void;

  /** The answer is whole. */
  abstract onEnd(trailers: IncomingHttpHeaders): void;

  /** The answer broke off. It is dropped, or broken off for the caller when committed. */
  abstract onBroken(): void;
}

/** Chooses which headers of an answer go on to the caller. */
export type HeaderFilter = (headers: IncomingHttpHeaders) => HeaderFields;

/** Relays to the caller; what is small enough is held until it is whole. */
export class CallerSink extends AnswerSink {
  readonly #response: ServerResponse;
  readonly #holdLimitBytes: number;
  readonly #filterHeaders: HeaderFilter;
  #status = 0;
  #headers: HeaderFields = {};
  #flow: FlowControl | undefined;
  #held: Buffer[] = [];
  #heldBytes = 0;
  #isCommitted = false;

  /** @param holdLimitBytes Answers up to this size are held until they are whole; 0 relays at once. */
  constructor(
    response: ServerResponse,
    holdLimitBytes: number,
    filterHeaders: HeaderFilter = toCallerHeaders,
  ) {
    super();
    this.#response = response;
    this.#holdLimitBytes = holdLimitBytes;
    this.#filterHeaders = filterHeaders;
  }

  override get isCommitted(): boolean {
    return this.#isCommitted;
  }

  override onHead(
    status: number,
    headers: IncomingHttpHeaders,
    flow: FlowControl,
  ): void {
    this.#status = status;
    this.#headers = this.#filterHeaders(headers);
    this.#flow = flow;
    const announced = Number(headers['content-length'] ?? 0);
    if (this.#holdLimitBytes === 0 || announced > this.#holdLimitBytes) {
      this.#commit();
    }
  }

  override onData(chunk: Buffer): void {
    if (this.#isCommitted) {
      this.#write(chunk);
      return;
    }
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    if (this.#heldBytes > this.#holdLimitBytes) {
      this.#commit();
    }
  }

  override onEnd(trailers: IncomingHttpHeaders): void {
    if (!this.#isCommitted) {
      this.#sendHeld(trailers);
      return;
    }
    if (Object.keys(trailers).length > 0) {
      this.#response.addTrailers(toCallerHeaders(trailers));
    }
    this.#response.end();
  }

  override onBroken(): void {
    if (this.#isCommitted) {
      // A connection that closes early is the only way to show that the answer is not whole.
      this.#response.destroy();
      return;
    }
    this.#held = [];
    this.#heldBytes = 0;
  }

  #sendHeld(trailers: IncomingHttpHeaders): void {
    this.#isCommitted = true;
    this.#response.writeHead(this.#status, this.#headers);
    const body =
      this.#held.length === 1 ? this.#held[0] : Buffer.concat(this.#held);
    if (Object.keys(trailers).length > 0) {
      this.#response.write(body);
      this.#response.addTrailers(toCallerHeaders(trailers));
      this.#response.end();
      return;
    }
    this.#response.end(body);
  }

  #commit(): void {
    this.#isCommitted = true;
    this.#response.writeHead(this.#status, this.#headers);
    for (const chunk of this.#held) {
      this.#write(chunk);
    }
    this.#held = [];
  }

  #write(chunk: Buffer): void {
    if (this.#response.write(chunk)) {
      return;
    }
    this.#flow?.pause();
    this.#response.once('drain', () => this.#flow?.resume());
  }
}

/** A whole answer, kept for resends. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** Records an answer instead of relaying it. */
export class RecordingSink extends AnswerSink {
  readonly #limitBytes: number;
  #status = 0;
  #headers: HeaderFields = {};
  #chunks: Buffer[] = [];
  #bytes = 0;
  #answer: RecordedAnswer | undefined;

  /** @param limitBytes Bodies larger than this are not recorded. */
  constructor(limitBytes: number) {
    super();
    this.#limitBytes = limitBytes;
  }

  /** The whole answer; undefined until it ended, or when it was too large. */
  get answer(): RecordedAnswer | undefined {
    return this.#answer;
  }

  override get isCommitted(): boolean {
    return false;
  }

  override onHead(status: number, headers: IncomingHttpHeaders): void {
    this.#status = status;
    this.#headers = toCallerHeaders(headers);
    this.#chunks = [];
    this.#bytes = 0;
  }

  override onData(chunk: Buffer): void {
    this.#bytes += chunk.length;
    if (this.#bytes <= this.#limitBytes) {
      this.#chunks.push(chunk);
    }
  }

  override onEnd(): void {
    if (this.#bytes <= this.#limitBytes) {
      const body = Buffer.concat(this.#chunks);
      this.#answer = {status: this.#status, headers: this.#headers, body};
    }
    this.#chunks = [];
  }

  override onBroken(): void {
    this.#chunks = [];
    this.#bytes = 0;
  }
}

/** Answers a caller with a recorded answer. */
export function sendRecorded(
  response: ServerResponse,
  answer: RecordedAnswer,
  extraHeaders: HeaderFields = {},
): void {
  response.writeHead(answer.status, {...answer.headers, ...extraHeaders});
  response.end(answer.body);
}
