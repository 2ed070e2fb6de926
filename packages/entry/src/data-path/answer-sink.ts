/** Sinks that take the answers of attempts: one relays to the caller, one records. */

import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {ByteCollector} from '@wasabidyke/shared';
import {toCallerHeaders, type HeaderFields} from './headers.js';

/** Lets a sink pause an upstream that sends faster than the sink can write. */
export interface FlowControl {
  pause(): void;
  resume(): void;
}

/** Takes the answer of one attempt after another, until one is complete. */
export abstract class AnswerSink {
  /** Whether part of an answer was sent on, so that no other attempt can replace it. */
  abstract get isCommitted(): boolean;

  /** Called when the status and the headers of an answer have arrived. */
  abstract onHead(
    status: number,
    headers: IncomingHttpHeaders,
    flow: FlowControl,
  ): void;

  /** Called for each part of the body. */
  abstract onData(chunk: Buffer): void;

  /** Called when the answer is complete. */
  abstract onEnd(trailers: IncomingHttpHeaders): void;

  /** Called when the answer broke off. Drops it or, once committed, closes the connection to the caller. */
  abstract onBroken(): void;
}

/** Selects the headers of an answer that are sent to the caller. */
export type HeaderFilter = (headers: IncomingHttpHeaders) => HeaderFields;

/** Relays an answer to the caller; a small one is buffered until it is complete. */
export class CallerSink extends AnswerSink {
  readonly #response: ServerResponse;
  readonly #bufferLimitBytes: number;
  readonly #filterHeaders: HeaderFilter;
  #status = 0;
  #headers: HeaderFields = {};
  #flow: FlowControl | undefined;
  readonly #buffered = new ByteCollector();
  #isCommitted = false;

  /** @param bufferLimitBytes Answers up to this size are buffered until they are complete; 0 relays at once. */
  constructor(
    response: ServerResponse,
    bufferLimitBytes: number,
    filterHeaders: HeaderFilter = toCallerHeaders,
  ) {
    super();
    this.#response = response;
    this.#bufferLimitBytes = bufferLimitBytes;
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
    const contentLength = Number(headers['content-length'] ?? 0);
    if (
      this.#bufferLimitBytes === 0 ||
      contentLength > this.#bufferLimitBytes
    ) {
      this.#commit();
    }
  }

  override onData(chunk: Buffer): void {
    if (this.#isCommitted) {
      this.#write(chunk);
      return;
    }
    this.#buffered.append(chunk);
    if (this.#buffered.bytes > this.#bufferLimitBytes) {
      this.#commit();
    }
  }

  override onEnd(trailers: IncomingHttpHeaders): void {
    if (!this.#isCommitted) {
      this.#sendBuffered(trailers);
      return;
    }
    if (Object.keys(trailers).length > 0) {
      this.#response.addTrailers(toCallerHeaders(trailers));
    }
    this.#response.end();
  }

  override onBroken(): void {
    if (this.#isCommitted) {
      // Closing the connection early is the only way to show that the answer is incomplete.
      this.#response.destroy();
      return;
    }
    this.#buffered.clear();
  }

  #sendBuffered(trailers: IncomingHttpHeaders): void {
    this.#isCommitted = true;
    this.#response.writeHead(this.#status, this.#headers);
    const body = this.#buffered.take();
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
    if (this.#buffered.bytes > 0) {
      this.#write(this.#buffered.take());
    }
  }

  #write(chunk: Buffer): void {
    if (this.#response.write(chunk)) {
      return;
    }
    this.#flow?.pause();
    this.#response.once('drain', () => this.#flow?.resume());
  }
}

/** A complete answer, kept for resends of its request. */
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
  readonly #body = new ByteCollector();
  #bytes = 0;
  #answer: RecordedAnswer | undefined;

  /** @param limitBytes Bodies larger than this are not recorded. */
  constructor(limitBytes: number) {
    super();
    this.#limitBytes = limitBytes;
  }

  /** The answer; undefined until it is complete, and when it was too large. */
  get answer(): RecordedAnswer | undefined {
    return this.#answer;
  }

  override get isCommitted(): boolean {
    return false;
  }

  override onHead(status: number, headers: IncomingHttpHeaders): void {
    this.#status = status;
    this.#headers = toCallerHeaders(headers);
    this.#body.clear();
    this.#bytes = 0;
  }

  override onData(chunk: Buffer): void {
    this.#bytes += chunk.length;
    if (this.#bytes <= this.#limitBytes) {
      this.#body.append(chunk);
    }
  }

  override onEnd(): void {
    if (this.#bytes <= this.#limitBytes) {
      const body = this.#body.take();
      this.#answer = {status: this.#status, headers: this.#headers, body};
    }
    this.#body.clear();
  }

  override onBroken(): void {
    this.#body.clear();
    this.#bytes = 0;
  }
}

/** Sends a recorded answer to a caller. */
export function sendRecordedAnswer(
  response: ServerResponse,
  answer: RecordedAnswer,
  extraHeaders: HeaderFields = {},
): void {
  response.writeHead(answer.status, {...answer.headers, ...extraHeaders});
  response.end(answer.body);
}
