/**
 * One attempt: a request sent once to one upstream over a connection that it
 * has to itself. Undici closes the connection of an attempt that broke off or
 * was given up, so that a late answer can never meet another request.
 */

import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import type {AnswerSink} from './answer-sink.js';
import {OUTCOME_HEADER, type HeaderFields} from './headers.js';

/** What to send. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body: Buffer | Readable | null;
}

/** How an attempt ended. */
export type AttemptResult =
  /** The sink has the whole answer. */
  | {readonly kind: 'answered'; readonly status: number}
  /** No byte of the request left this process. */
  | {readonly kind: 'not-sent'; readonly message: string}
  /** The upstream refused before running. */
  | {readonly kind: 'shed'; readonly retryAfterSeconds: number}
  /** The request may have run; the answer is missing or not whole. */
  | {
      readonly kind: 'broken';
      readonly message: string;
      /** Whether the upstream's side ended the connection. */
      readonly isConnectionLost: boolean;
    }
  /** The deadline passed or the caller hung up, after bytes were sent. */
  | {readonly kind: 'given-up'};

/** Told of the headers of each answer before they are relayed. */
export type AnswerHeadListener = (headers: IncomingHttpHeaders) => void;

/** What an attempt needs beside its request. */
export interface AttemptOptions {
  readonly dispatcher: Dispatcher;
  readonly request: AttemptRequest;
  readonly sink: AnswerSink;
  readonly onAnswerHead: AnswerHeadListener;
  /** Whether the other side is an entry, whose refusals are relayed as they are. */
  readonly isToEntry?: boolean;
}

const SHED_STATUS = 503;
const DEFAULT_RETRY_AFTER_SECONDS = 1;
const FIRST_FINAL_STATUS = 200;

/** One attempt. */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly #options: AttemptOptions;
  readonly #finish: (result: AttemptResult) => void;
  /** Settles when the attempt has ended; never rejects. */
  readonly result: Promise<AttemptResult>;
  #controller: Dispatcher.DispatchController | undefined;
  #isSent = false;
  #isGivenUp = false;
  #isShed = false;
  #isUnbounded = false;
  #isFinished = false;
  #status = 0;
  #retryAfterSeconds = DEFAULT_RETRY_AFTER_SECONDS;

  constructor(options: AttemptOptions) {
    this.#options = options;
    let finish: (result: AttemptResult) => void = () => {};
    this.result = new Promise(resolve => (finish = resolve));
    this.#finish = finish;
  }

  /** Whether any byte may have left this process. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /** Sends the request. */
  start(): void {
    const {dispatcher, request} = this.#options;
    try {
      dispatcher.dispatch(
        {
          ...request,
          method: request.method as Dispatcher.HttpMethod,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        this,
      );
    } catch (error) {
      this.#end({kind: 'not-sent', message: toMessage(error)});
    }
  }

  /** Gives the attempt up; its connection is closed. */
  giveUp(): void {
    if (this.#isFinished) {
      return;
    }
    this.#isGivenUp = true;
    if (this.#isSent) {
      // Ended first: aborting calls back with an error that would look like the upstream's.
      this.#endBroken({kind: 'given-up'});
      this.#controller?.abort(new Error('given up'));
      return;
    }
    this.#end({kind: 'not-sent', message: 'given up before it was sent'});
  }

  /** @internal */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isSent || this.#isGivenUp) {
      // Undici may send a request again when its connection was reset: never here.
      controller.abort(new Error('not sent again'));
      return;
    }
    this.#isSent = true;
  }

  /** @internal */
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < FIRST_FINAL_STATUS || this.#isFinished) {
      return;
    }
    this.#status = status;
    this.#options.onAnswerHead(headers);
    this.#isShed =
      this.#options.isToEntry !== true &&
      status === SHED_STATUS &&
      headers[OUTCOME_HEADER] === 'not-run';
    if (this.#isShed) {
      this.#retryAfterSeconds = readRetryAfter(headers);
      return;
    }
    this.#isUnbounded = this.#isWithoutEnd(status, headers);
    if (this.#isUnbounded) {
      controller.abort(new Error('answer without a length'));
      return;
    }
    this.#options.sink.onHead(status, headers, controller);
  }

  /** @internal */
  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#isShed && !this.#isFinished) {
      this.#options.sink.onData(chunk);
    }
  }

  /** @internal */
  onResponseEnd(
    _controller: Dispatcher.DispatchController,
    trailers: IncomingHttpHeaders,
  ): void {
    if (this.#isFinished) {
      return;
    }
    if (this.#isShed) {
      const retryAfterSeconds = this.#retryAfterSeconds;
      this.#end({kind: 'shed', retryAfterSeconds});
      return;
    }
    this.#options.sink.onEnd(trailers ?? {});
    this.#end({kind: 'answered', status: this.#status});
  }

  /** @internal */
  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#isFinished) {
      return;
    }
    if (!this.#isSent) {
      this.#end({kind: 'not-sent', message: toMessage(error)});
      return;
    }
    if (this.#isShed) {
      // The refusal itself arrived; only its text is cut.
      const retryAfterSeconds = this.#retryAfterSeconds;
      this.#end({kind: 'shed', retryAfterSeconds});
      return;
    }
    const isConnectionLost = !this.#isUnbounded && isSocketError(error);
    this.#endBroken({
      kind: 'broken',
      message: toMessage(error),
      isConnectionLost,
    });
  }

  /** An answer that ends with its connection can't be told from one that was cut. */
  #isWithoutEnd(status: number, headers: IncomingHttpHeaders): boolean {
    const hasNoBody =
      this.#options.request.method === 'HEAD' ||
      status === 204 ||
      status === 304;
    const hasEnd =
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined;
    return !hasNoBody && !hasEnd;
  }

  #endBroken(result: AttemptResult): void {
    this.#options.sink.onBroken();
    this.#end(result);
  }

  #end(result: AttemptResult): void {
    if (!this.#isFinished) {
      this.#isFinished = true;
      this.#finish(result);
    }
  }
}

function readRetryAfter(headers: IncomingHttpHeaders): number {
  const text = headers['retry-after'];
  const isNumber = text !== undefined && /^\d{1,5}$/.test(text);
  return isNumber ? Number(text) : DEFAULT_RETRY_AFTER_SECONDS;
}

function isSocketError(error: Error): boolean {
  const code = (error as NodeJS.ErrnoException).code;
  return code === 'UND_ERR_SOCKET' || code === 'ECONNRESET' || code === 'EPIPE';
}

function toMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
