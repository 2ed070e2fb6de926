/**
 * One exchange: a request sent once over one connection. Only this module
 * decides whether a byte of the request may have reached an upstream.
 */

import type {IncomingHttpHeaders} from 'node:http';
import {
  ByteCollector,
  findStatusFault,
  isDelimitedByConnection,
  type HeaderFields,
} from '@wasabidyke/shared';
import type {Dispatcher} from 'undici';
import type {AnswerMemory} from './answer-memory.js';
import type {UpstreamConnection} from './connection-pool.js';
import type {AnswerKind} from './wire-protocol.js';

/** The request of an exchange. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body: Buffer | null;
}

/** An answer that was received completely. */
export interface CompleteAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Result of an exchange; `kind` is written to the log. */
export type ExchangeResult =
  | {readonly kind: 'answered'; readonly answer: CompleteAnswer}
  /** The upstream refused the request before running it. */
  | {
      readonly kind: 'not-run';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
    }
  /** Another upstream now has the address; it did not run the request. */
  | {readonly kind: 'other-upstream'}
  /** No byte of the request was sent. */
  | {readonly kind: 'not-sent'; readonly message: string}
  /** The request may have run; its answer is missing, truncated or invalid. */
  | {readonly kind: 'broken'; readonly message: string}
  /** This entry aborted the exchange after bytes were sent. */
  | {readonly kind: 'given-up'};

/** Classifies an answer by its status and headers. */
export type AnswerClassifier = (
  status: number,
  headers: IncomingHttpHeaders,
) => AnswerKind;

/** Lower statuses are informational (1xx) and precede the final one. */
const FIRST_FINAL_STATUS = 200;

/** Limit of an answer's body, in bytes; a typical one is a thousandth of this. */
const MAXIMUM_ANSWER_BYTES = 16_777_216;

/** Time between checks of what an upstream sends beside the answer, in milliseconds. */
const FRAMING_CHECK_INTERVAL_MS = 100;

/** Limit of what an upstream sends beside the body of its answer, in bytes: heads, and the sizes of chunks, which for a large answer in small chunks are as many as its body. */
const MAXIMUM_FRAMING_BYTES = 262_144;

/** Chunks that an answer may have whatever its size, and the bytes that each further one must bring on average: an answer in smaller chunks costs more time than it is worth. */
const MAXIMUM_SMALL_CHUNKS = 4_096;
const MINIMUM_CHUNK_BYTES = 8;

/** How an exchange reads its answer. */
export interface AnswerOptions {
  readonly classifyAnswer: AnswerClassifier;
  /** Memory that all exchanges share. */
  readonly memory: AnswerMemory;
  /** Limit of the body, in bytes. */
  readonly maximumBytes?: number;
}

/** Limit of informational answers that may precede the final one; an upstream that works on a request sends few. */
const MAXIMUM_INFORMATIONAL_ANSWERS = 16;

/** Sends one request to one upstream and collects the answer. */
export class Exchange implements Dispatcher.DispatchHandler {
  /** Settles when the exchange has ended; never rejects. */
  readonly result: Promise<ExchangeResult>;
  readonly #connection: UpstreamConnection;
  readonly #request: ExchangeRequest;
  readonly #options: AnswerOptions;
  readonly #settle: (result: ExchangeResult) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #isSent = false;
  #isEnded = false;
  #isAborted = false;
  #isComplete = false;
  #hasConnectionEnded = false;
  #answerKind: AnswerKind | undefined;
  #status = 0;
  #headers: IncomingHttpHeaders = {};
  readonly #body = new ByteCollector();
  #chunks = 0;
  #informationalAnswers = 0;
  /** What the connection had received before. */
  #initialBytes = 0;
  #framingTimer: NodeJS.Timeout | undefined;

  constructor(
    connection: UpstreamConnection,
    request: ExchangeRequest,
    options: AnswerOptions,
  ) {
    this.#connection = connection;
    this.#request = request;
    this.#options = options;
    let settleResult: (result: ExchangeResult) => void = () => {};
    this.result = new Promise(resolve => (settleResult = resolve));
    this.#settle = settleResult;
  }

  /** Whether the upstream's whole answer to this request was read, so that the connection can carry another one. */
  get isConnectionReusable(): boolean {
    const isOwn =
      this.#answerKind === 'answer' || this.#answerKind === 'not-run';
    return isOwn && this.#isComplete;
  }

  /** Whether the head of an answer was received. */
  get hasAnswerHead(): boolean {
    return this.#answerKind !== undefined;
  }

  /** Whether this entry ended the exchange. */
  get isAborted(): boolean {
    return this.#isAborted;
  }

  /** Sends the request. */
  start(): void {
    const {method} = this.#request;
    this.#initialBytes = this.#connection.receivedBytes;
    this.#framingTimer = setInterval(
      () => this.#checkFraming(),
      FRAMING_CHECK_INTERVAL_MS,
    );
    try {
      this.#connection.dispatch(
        {...this.#request, method: method as Dispatcher.HttpMethod},
        this,
        () => this.#onConnectionEnd(),
      );
    } catch (error) {
      this.#end({kind: 'not-sent', message: toMessage(error)});
    }
  }

  /** Aborts the exchange; its connection can't be reused. */
  abort(): void {
    if (this.#isEnded) {
      return;
    }
    this.#isAborted = true;
    if (this.#isSent) {
      this.#end({kind: 'given-up'});
      if (!this.hasAnswerHead && this.#informationalAnswers === 0) {
        // The client fails on a reset within an answer; the upstream has the request by then.
        this.#connection.reset();
      }
      this.#controller?.abort(new Error('exchange aborted by this entry'));
    } else {
      this.#end({
        kind: 'not-sent',
        message: 'exchange aborted before the request was sent',
      });
    }
  }

  /** @internal */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#isSent || this.#isEnded) {
      // The client may resend a request whose connection was reset; an exchange sends it once.
      controller.abort(new Error('an exchange sends its request only once'));
      return;
    }
    this.#controller = controller;
    this.#isSent = true;
  }

  /** @internal */
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.#isEnded) {
      return;
    }
    const statusFault = findStatusFault(status);
    if (statusFault !== undefined) {
      this.#breakOff(controller, statusFault);
      return;
    }
    if (status < FIRST_FINAL_STATUS) {
      this.#informationalAnswers += 1;
      if (this.#informationalAnswers > MAXIMUM_INFORMATIONAL_ANSWERS) {
        this.#breakOff(controller, 'too many informational answers');
      }
      return;
    }
    this.#connection.onHead();
    this.#status = status;
    this.#headers = headers;
    this.#answerKind = this.#options.classifyAnswer(status, headers);
    if (this.#answerKind === 'foreign') {
      this.#breakOff(controller, 'the answer belongs to another request');
    }
  }

  /** @internal */
  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isEnded) {
      return;
    }
    const {memory, maximumBytes = MAXIMUM_ANSWER_BYTES} = this.#options;
    if (this.#body.bytes + chunk.length > maximumBytes) {
      this.#breakOff(controller, `the answer exceeds ${maximumBytes} bytes`);
      return;
    }
    this.#chunks += 1;
    const allowedChunks =
      MAXIMUM_SMALL_CHUNKS + this.#body.bytes / MINIMUM_CHUNK_BYTES;
    if (this.#chunks > allowedChunks) {
      this.#breakOff(controller, 'the answer is in too many chunks');
      return;
    }
    if (!memory.take(this.#body.growthFor(chunk.length))) {
      this.#breakOff(controller, 'answers take too much memory');
      return;
    }
    this.#body.append(chunk);
    if (!memory.pace.take() && !this.#hasConnectionEnded) {
      controller.pause();
      memory.pace.wait(() => controller.resume());
    }
  }

  /** What was read of the answer waits for its turn no longer. */
  #onConnectionEnd(): void {
    this.#hasConnectionEnded = true;
    this.#controller?.resume();
  }

  /** The parser skips the extensions of chunks and much else without end. */
  #checkFraming(): void {
    const bytes = this.#connection.receivedBytes - this.#initialBytes;
    const framingBytes = bytes - 2 * this.#body.bytes;
    if (framingBytes > MAXIMUM_FRAMING_BYTES && this.#controller) {
      this.#breakOff(this.#controller, 'the answer is mostly framing');
    }
  }

  /** Ends the exchange because of what the upstream sends, and closes its connection. */
  #breakOff(controller: Dispatcher.DispatchController, message: string): void {
    this.#end({kind: 'broken', message});
    controller.abort(new Error(message));
  }

  /** @internal */
  onResponseEnd(): void {
    if (isDelimitedByConnection(this.#headers)) {
      // Whether the connection was reset is known only after this call.
      setImmediate(() => this.#onComplete());
    } else {
      this.#onComplete();
    }
  }

  #onComplete(): void {
    if (this.#connection.isReset) {
      this.onResponseError(
        undefined,
        new Error('connection reset during the answer'),
      );
      return;
    }
    this.#isComplete = true;
    if (this.#endIfRefused()) {
      return;
    }
    const heldBytes = this.#body.heldBytes;
    const body = this.#body.take();
    this.#options.memory.release(heldBytes);
    const answer = {status: this.#status, headers: this.#headers, body};
    this.#end({kind: 'answered', answer});
  }

  /** @internal */
  onResponseError(_controller: unknown, error: Error): void {
    if (!this.#isSent) {
      this.#end({kind: 'not-sent', message: toMessage(error)});
      return;
    }
    // A refusal is valid by its status and headers, even if its body is truncated.
    if (!this.#endIfRefused()) {
      this.#end({kind: 'broken', message: toMessage(error)});
    }
  }

  /** Ends the exchange if the upstream refused the request, and returns whether it did. */
  #endIfRefused(): boolean {
    switch (this.#answerKind) {
      case 'not-run':
        this.#end({
          kind: 'not-run',
          status: this.#status,
          headers: this.#headers,
        });
        return true;
      case 'other-upstream':
        this.#end({kind: 'other-upstream'});
        return true;
      default:
        return false;
    }
  }

  #end(result: ExchangeResult): void {
    if (!this.#isEnded) {
      this.#isEnded = true;
      clearInterval(this.#framingTimer);
      this.#options.memory.release(this.#body.heldBytes);
      this.#body.clear();
      this.#settle(result);
    }
  }
}

function toMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
