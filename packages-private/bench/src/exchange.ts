/** One request and its answer, with as little work as can be. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';

/** What is told of an answer; status 0 when there was none, or not a whole one. */
export interface ExchangeResult {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** Sends `GET path` and reads the answer to its end. Never rejects. */
export function exchange(
  dispatcher: Dispatcher,
  path: string,
  timeoutMs: number,
): Promise<ExchangeResult> {
  return new Promise(resolve => {
    const options = {
      method: 'GET' as const,
      path,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    };
    dispatcher.dispatch(options, new ExchangeHandler(resolve));
  });
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #resolve: (result: ExchangeResult) => void;
  #status = 0;
  #headers: IncomingHttpHeaders = {};

  constructor(resolve: (result: ExchangeResult) => void) {
    this.#resolve = resolve;
  }

  onRequestStart(): void {}

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#status = status;
    this.#headers = headers;
  }

  onResponseData(): void {}

  onResponseEnd(): void {
    this.#resolve({status: this.#status, headers: this.#headers});
  }

  onResponseError(): void {
    this.#resolve({status: 0, headers: {}});
  }
}
