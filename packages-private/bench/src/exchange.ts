/** One request and its answer, with as little work as can be. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';

/** What is told of an answer; status 0 when there was none, or not a whole one. */
export interface ExchangeResult {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** One request and its answer. */
export class Exchange implements Dispatcher.DispatchHandler {
  /** Settles when the exchange has ended; never rejects. */
  readonly result: Promise<ExchangeResult>;
  #resolve: (result: ExchangeResult) => void = () => {};
  #controller: Dispatcher.DispatchController | undefined;
  #isGivenUp = false;
  #status = 0;
  #headers: IncomingHttpHeaders = {};

  /** Sends `GET path` and reads the answer to its end. */
  constructor(dispatcher: Dispatcher, path: string, timeoutMs: number) {
    this.result = new Promise(resolve => (this.#resolve = resolve));
    const options = {
      method: 'GET' as const,
      path,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    };
    dispatcher.dispatch(options, this);
  }

  /** Whether the exchange was given up. */
  get isGivenUp(): boolean {
    return this.#isGivenUp;
  }

  /** Gives the exchange up and closes its connection. */
  giveUp(): void {
    this.#isGivenUp = true;
    this.#controller?.abort(new Error('given up'));
  }

  /** @internal */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isGivenUp) {
      controller.abort(new Error('given up'));
    }
  }

  /** @internal */
  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#status = status;
    this.#headers = headers;
  }

  /** @internal */
  onResponseData(): void {}

  /** @internal */
  onResponseEnd(): void {
    this.#resolve({status: this.#status, headers: this.#headers});
  }

  /** @internal */
  onResponseError(): void {
    this.#resolve({status: 0, headers: {}});
  }
}
