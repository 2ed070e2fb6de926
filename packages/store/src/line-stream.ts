/** A request whose answer is a stream of lines without an end. */

import {Client, type Dispatcher} from 'undici';
import {MEBIBYTE} from '@wasabidyke/shared';

/** Longest line that is read: a value of a megabyte in base64, with room. */
const MAXIMUM_LINE_LENGTH = 4 * MEBIBYTE;

/** Told of the lines of a stream. Nothing follows `onEnd`. */
export interface LineListener {
  onLine(line: string): void;
  onEnd(message: string): void;
}

/** What is requested of a stream. */
export interface LineStreamRequest {
  readonly endpoint: string;
  readonly path: string;
  readonly body: string;
  /** Time until the first line must be there, in milliseconds. */
  readonly startTimeoutMs: number;
}

/** An open stream of lines, on a connection of its own. */
export class LineStream implements Dispatcher.DispatchHandler {
  readonly #client: Client;
  readonly #listener: LineListener;
  readonly #onRelease: (isBroken: boolean) => void;
  readonly #startTimer: NodeJS.Timeout;
  readonly #decoder = new TextDecoder();
  #rest = '';
  #isEnded = false;

  /** @param onRelease Called once, when the stream has ended by itself (`isBroken`) or was closed. */
  constructor(
    request: LineStreamRequest,
    listener: LineListener,
    onRelease: (isBroken: boolean) => void,
  ) {
    this.#listener = listener;
    this.#onRelease = onRelease;
    const {endpoint, path, body, startTimeoutMs} = request;
    this.#client = new Client(endpoint, {
      bodyTimeout: 0,
      headersTimeout: 0,
      connect: {timeout: startTimeoutMs},
    });
    const message = `the stream did not begin within ${startTimeoutMs} ms`;
    this.#startTimer = setTimeout(() => this.#end(message), startTimeoutMs);
    const headers = {'content-type': 'application/json'};
    this.#client.dispatch({method: 'POST', path, body, headers}, this);
  }

  /** Ends the stream; the listener hears nothing more. */
  close(): void {
    if (!this.#isEnded) {
      this.#isEnded = true;
      this.#release(false);
    }
  }

  onRequestStart(): void {}

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status !== 200) {
      this.#end(`the stream was answered with status ${status}`);
    }
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    const lines = (
      this.#rest + this.#decoder.decode(chunk, {stream: true})
    ).split('\n');
    this.#rest = lines.pop() ?? '';
    for (const line of lines.filter(text => text.trim() !== '')) {
      this.#deliver(line);
    }
    if (this.#rest.length > MAXIMUM_LINE_LENGTH) {
      this.#end('a line of the stream is too long');
    }
  }

  onResponseEnd(): void {
    this.#end('the stream was ended');
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#end(error.message);
  }

  #deliver(line: string): void {
    if (!this.#isEnded) {
      clearTimeout(this.#startTimer);
      this.#listener.onLine(line);
    }
  }

  #end(message: string): void {
    if (!this.#isEnded) {
      this.#isEnded = true;
      this.#release(true);
      this.#listener.onEnd(message);
    }
  }

  #release(isBroken: boolean): void {
    clearTimeout(this.#startTimer);
    this.#onRelease(isBroken);
    void this.#client.destroy();
  }
}
