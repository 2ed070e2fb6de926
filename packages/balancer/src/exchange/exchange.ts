/**
 * One exchange: a request sent once over one connection. It is the one place
 * that says whether a byte of the request may have reached an upstream.
 */

import type {IncomingHttpHeaders} from 'node:http';
import type {HeaderFields} from '@wasabidyke/shared';
import type {Dispatcher} from 'undici';
import type {UpstreamConnection} from './connection-pool.js';
import type {AnswerMeaning} from './wire-protocol.js';

/** What is sent. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body: Buffer | null;
}

/** An answer that arrived whole. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** How an exchange ended. */
export type ExchangeResult =
  | {readonly kind: 'answered'; readonly answer: WholeAnswer}
  /** The upstream refused before running. */
  | {readonly kind: 'not-run'}
  /** Another upstream has the address; it ran nothing. */
  | {readonly kind: 'other-upstream'}
  /** No byte left this process. */
  | {readonly kind: 'not-sent'; readonly message: string}
  /** It may have run; its answer is missing, cut or spoilt. */
  | {readonly kind: 'broken'; readonly message: string}
  /** Given up by this entry after bytes were sent. */
  | {readonly kind: 'given-up'};

/** Reads the head of an answer. */
export type HeadReader = (
  status: number,
  headers: IncomingHttpHeaders,
) => AnswerMeaning;

const FIRST_FINAL_STATUS = 200;

/** Longest answer that is kept whole, in bytes: a thousandth of it is usual. */
const MAXIMUM_ANSWER_BYTES = 16_777_216;

/** One request at one upstream. */
export class Exchange implements Dispatcher.DispatchHandler {
  /** Settles when the exchange has ended; never rejects. */
  readonly result: Promise<ExchangeResult>;
  readonly #connection: UpstreamConnection;
  readonly #request: ExchangeRequest;
  readonly #readHead: HeadReader;
  readonly #settle: (result: ExchangeResult) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #isSent = false;
  #isEnded = false;
  #isWhole = false;
  #meaning: AnswerMeaning | undefined;
  #status = 0;
  #headers: IncomingHttpHeaders = {};
  #chunks: Buffer[] = [];
  #bytes = 0;

  constructor(
    connection: UpstreamConnection,
    request: ExchangeRequest,
    readHead: HeadReader,
  ) {
    this.#connection = connection;
    this.#request = request;
    this.#readHead = readHead;
    let settle: (result: ExchangeResult) => void = () => {};
    this.result = new Promise(resolve => (settle = resolve));
    this.#settle = settle;
  }

  /** Whether the connection can carry another request. */
  get isClean(): boolean {
    return this.#meaning !== undefined && this.#isWhole;
  }

  start(): void {
    const {method} = this.#request;
    try {
      this.#connection.dispatch(
        {...this.#request, method: method as Dispatcher.HttpMethod},
        this,
      );
    } catch (error) {
      this.#end({kind: 'not-sent', message: toMessage(error)});
    }
  }

  /** Gives the exchange up and closes its connection. */
  giveUp(): void {
    if (this.#isEnded) {
      return;
    }
    if (this.#isSent) {
      this.#end({kind: 'given-up'});
      this.#controller?.abort(new Error('given up'));
    } else {
      this.#end({kind: 'not-sent', message: 'given up before it was sent'});
    }
  }

  /** @internal */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#isSent || this.#isEnded) {
      // The client may send a request again whose connection was reset: never here.
      controller.abort(new Error('not sent again'));
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
    if (status < FIRST_FINAL_STATUS || this.#isEnded) {
      return;
    }
    this.#status = status;
    this.#headers = headers;
    this.#meaning = this.#readHead(status, headers);
    if (this.#meaning === 'foreign') {
      this.#end({
        kind: 'broken',
        message: 'the answer belongs to another request',
      });
      controller.abort(new Error('foreign answer'));
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
    this.#bytes += chunk.length;
    if (this.#bytes > MAXIMUM_ANSWER_BYTES) {
      this.#end({kind: 'broken', message: 'the answer is too long'});
      controller.abort(new Error('too long'));
      return;
    }
    this.#chunks.push(chunk);
  }

  /** @internal */
  onResponseEnd(): void {
    const {'content-length': length, 'transfer-encoding': encoding} =
      this.#headers;
    if (length === undefined && encoding === undefined) {
      // The connection learns only after this call whether it was reset.
      setImmediate(() => this.#onWhole());
    } else {
      this.#onWhole();
    }
  }

  #onWhole(): void {
    if (this.#connection.isReset) {
      this.onResponseError(undefined, new Error('reset within the answer'));
      return;
    }
    this.#isWhole = true;
    if (this.#isRefusal()) {
      return;
    }
    const body =
      this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks);
    const answer = {status: this.#status, headers: this.#headers, body};
    this.#end({kind: 'answered', answer});
  }

  /** @internal */
  onResponseError(_controller: unknown, error: Error): void {
    if (!this.#isSent) {
      this.#end({kind: 'not-sent', message: toMessage(error)});
      return;
    }
    // A refusal counts by its head, even where its text is cut.
    if (!this.#isRefusal()) {
      this.#end({kind: 'broken', message: toMessage(error)});
    }
  }

  #isRefusal(): boolean {
    if (this.#meaning === 'not-run' || this.#meaning === 'other-upstream') {
      this.#end({kind: this.#meaning});
      return true;
    }
    return false;
  }

  #end(result: ExchangeResult): void {
    if (!this.#isEnded) {
      this.#isEnded = true;
      this.#settle(result);
    }
  }
}

function toMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
