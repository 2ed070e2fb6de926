/**
 * One attempt: a request sent once to one upstream over a connection that no
 * other request uses meanwhile. Undici closes the connection of an attempt that
 * broke off or was given up, so a late answer can't reach another request.
 */

import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import type {AttemptEnd} from '@wasabidyke/policy';
import {findStatusFault, isDelimitedByConnection} from '@wasabidyke/shared';
import type {AnswerSink} from './answer-sink.js';
import {OUTCOME_HEADER, type HeaderFields} from './headers.js';

/** The request that an attempt sends. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body: Buffer | Readable | null;
}

/** What a pool is told of an attempt: it gets its handler only wrapped. */
export interface AttemptDispatchOptions extends Dispatcher.DispatchOptions {
  readonly attempt: Attempt;
}

/** How an attempt ended. */
export type AttemptResult =
  /** The sink has the complete answer. */
  | {readonly kind: 'answered'; readonly status: number}
  /** No byte of the request left this process. */
  | {readonly kind: 'not-sent'; readonly message: string}
  /** The upstream refused the request without running it. */
  | {readonly kind: 'shed'; readonly retryAfterSeconds: number}
  /** The request may have run; the answer is missing or incomplete. */
  | {
      readonly kind: 'broken';
      readonly message: string;
      /** Whether the connection was lost, rather than closed by this process. */
      readonly isConnectionLost: boolean;
    }
  /** The deadline passed or the caller hung up, after bytes were sent. */
  | {readonly kind: 'given-up'};

/** Called with the headers of each answer before they are relayed. */
export type AnswerHeadListener = (headers: IncomingHttpHeaders) => void;

/** Options of `Attempt`. */
export interface AttemptOptions {
  readonly dispatcher: Dispatcher;
  readonly request: AttemptRequest;
  readonly sink: AnswerSink;
  readonly onAnswerHead: AnswerHeadListener;
  /** Whether the request goes to another entry, whose refusals are relayed unchanged. */
  readonly isTargetEntry?: boolean;
}

const SHED_STATUS = 503;
const DEFAULT_RETRY_AFTER_SECONDS = 1;
const FIRST_FINAL_STATUS = 200;

/** Sends a request once and passes the answer to a sink. */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly #options: AttemptOptions;
  readonly #settle: (result: AttemptResult) => void;
  /** Settles when the attempt has ended; never rejects. */
  readonly result: Promise<AttemptResult>;
  #controller: Dispatcher.DispatchController | undefined;
  #isSent = false;
  #isGivenUp = false;
  #isShed = false;
  #isFinished = false;
  #hasConnectionEnded = false;
  #status = 0;
  #retryAfterSeconds = DEFAULT_RETRY_AFTER_SECONDS;

  constructor(options: AttemptOptions) {
    this.#options = options;
    let settle: (result: AttemptResult) => void = () => {};
    this.result = new Promise(resolve => (settle = resolve));
    this.#settle = settle;
  }

  /** Whether any byte of the request may have left this process. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /** Sends the request. */
  start(): void {
    const {dispatcher, request} = this.#options;
    try {
      const options: AttemptDispatchOptions = {
        ...request,
        method: request.method as Dispatcher.HttpMethod,
        headersTimeout: 0,
        bodyTimeout: 0,
        attempt: this,
      };
      dispatcher.dispatch(options, this);
    } catch (error) {
      this.#end({kind: 'not-sent', message: toMessage(error)});
    }
  }

  /** Gives up the attempt and closes its connection. */
  giveUp(): void {
    if (this.#isFinished) {
      return;
    }
    this.#isGivenUp = true;
    if (this.#isSent) {
      // Set the result before aborting: the abort error would look like a fault of the upstream.
      this.#endBroken({kind: 'given-up'});
      this.#controller?.abort(new Error('the attempt was given up'));
      return;
    }
    this.#end({
      kind: 'not-sent',
      message: 'the attempt was given up before it was sent',
    });
  }

  /** Called when the connection has ended; what was read of the answer is held back no longer. */
  onConnectionEnd(): void {
    this.#hasConnectionEnded = true;
    this.#controller?.resume();
  }

  /** @internal */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isSent || this.#isGivenUp) {
      // Undici resends some requests after a connection reset; an attempt is sent only once.
      controller.abort(new Error('an attempt is sent only once'));
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
    const statusFault = findStatusFault(status);
    if (statusFault !== undefined) {
      this.#refuse(controller, statusFault);
      return;
    }
    if (status < FIRST_FINAL_STATUS || this.#isFinished) {
      return;
    }
    this.#status = status;
    this.#options.onAnswerHead(headers);
    this.#isShed =
      this.#options.isTargetEntry !== true &&
      status === SHED_STATUS &&
      headers[OUTCOME_HEADER] === 'not-run';
    if (this.#isShed) {
      this.#retryAfterSeconds = readRetryAfter(headers);
      // Answers name no request: one that is written once more would be taken for the next one.
      controller.abort(new Error('a connection is not used after a refusal'));
      return;
    }
    if (this.#hasCloseDelimitedBody(status, headers)) {
      this.#refuse(
        controller,
        'the answer has neither a length nor chunked as its last coding',
      );
      return;
    }
    this.#options.sink.onHead(status, headers, {
      pause: () => this.#hasConnectionEnded || controller.pause(),
      resume: () => controller.resume(),
    });
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
      // The headers of the refusal arrived; only its body is incomplete.
      const retryAfterSeconds = this.#retryAfterSeconds;
      this.#end({kind: 'shed', retryAfterSeconds});
      return;
    }
    const isConnectionLost = isSocketError(error);
    this.#endBroken({
      kind: 'broken',
      message: toMessage(error),
      isConnectionLost,
    });
  }

  /** Refuses an answer because of its head, and closes its connection. */
  #refuse(controller: Dispatcher.DispatchController, message: string): void {
    if (!this.#isFinished) {
      this.#endBroken({kind: 'broken', message, isConnectionLost: false});
    }
    controller.abort(new Error(message));
  }

  /** Whether the end of the body is marked only by the end of the connection, so that a cut goes unnoticed. */
  #hasCloseDelimitedBody(
    status: number,
    headers: IncomingHttpHeaders,
  ): boolean {
    const hasNoBody =
      this.#options.request.method === 'HEAD' ||
      status === 204 ||
      status === 304;
    return !hasNoBody && isDelimitedByConnection(headers);
  }

  #endBroken(result: AttemptResult): void {
    this.#options.sink.onBroken();
    this.#end(result);
  }

  #end(result: AttemptResult): void {
    if (!this.#isFinished) {
      this.#isFinished = true;
      this.#settle(result);
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

/** How an attempt counts for its upstream. @param isCancelled Whether the caller has hung up. */
export function toAttemptEnd(
  result: AttemptResult,
  isCancelled: boolean,
): AttemptEnd {
  switch (result.kind) {
    case 'answered':
      return 'answered';
    case 'shed':
      return 'shed';
    case 'broken':
      return 'failed';
    case 'given-up':
      return isCancelled ? 'cancelled' : 'failed';
    case 'not-sent':
      return 'cancelled';
  }
}
