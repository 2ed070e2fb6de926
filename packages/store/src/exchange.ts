/** One HTTP request and its answer, told apart by whether any byte was sent. */

import type {Dispatcher} from 'undici';
import {MEBIBYTE, SECOND_MS} from '@wasabidyke/shared';

/** Largest answer that is read: a value of a megabyte in base64, with room. */
const MAXIMUM_ANSWER_BYTES = 4 * MEBIBYTE;

/** An HTTP answer read whole. */
export interface HttpAnswer {
  readonly status: number;
  readonly text: string;
}

/** An exchange that failed. */
export interface ExchangeFailure {
  /** Whether bytes of the request may have left this process. */
  readonly wasSent: boolean;
  readonly message: string;
}

/** How an exchange ended. */
export type ExchangeEnd =
  | {readonly kind: 'answered'; readonly answer: HttpAnswer}
  | {readonly kind: 'failed'; readonly failure: ExchangeFailure};

/** What is requested. */
export interface ExchangeRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  /** Time until the answer must be whole, in milliseconds. */
  readonly timeoutMs: number;
}

/** Sends a request and reads its answer whole. Never rejects. */
export function exchange(
  dispatcher: Dispatcher,
  request: ExchangeRequest,
): Promise<ExchangeEnd> {
  return new Promise(resolve => {
    const handler = new ExchangeHandler(request.timeoutMs, resolve);
    const {method, path, body} = request;
    const headers = {'content-type': 'application/json'};
    dispatcher.dispatch({method, path, body, headers}, handler);
  });
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #resolve: (end: ExchangeEnd) => void;
  readonly #timer: NodeJS.Timeout;
  readonly #chunks: Buffer[] = [];
  #length = 0;
  #status = 0;
  #isSettled = false;
  #controller: Dispatcher.DispatchController | undefined;

  constructor(timeoutMs: number, resolve: (end: ExchangeEnd) => void) {
    this.#resolve = resolve;
    const message = `no whole answer within ${timeoutMs / SECOND_MS} s`;
    this.#timer = setTimeout(() => this.#abort(message), timeoutMs);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#isSettled) {
      controller.abort(new Error('the deadline passed before it was sent'));
      return;
    }
    this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    this.#status = status;
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#length += chunk.length;
    if (this.#length > MAXIMUM_ANSWER_BYTES) {
      this.#abort('the answer is too large');
      return;
    }
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    const text = Buffer.concat(this.#chunks).toString('utf8');
    this.#settle({kind: 'answered', answer: {status: this.#status, text}});
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#fail(error.message);
  }

  #abort(message: string): void {
    this.#fail(message);
    this.#controller?.abort(new Error(message));
  }

  #fail(message: string): void {
    const wasSent = this.#controller !== undefined;
    this.#settle({kind: 'failed', failure: {wasSent, message}});
  }

  #settle(end: ExchangeEnd): void {
    clearTimeout(this.#timer);
    if (!this.#isSettled) {
      this.#isSettled = true;
      this.#resolve(end);
    }
  }
}
