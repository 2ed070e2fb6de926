/** A caller's connection that is written in pieces and may carry several requests at a time. */

import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

/** Bytes of the largest piece. */
const LARGEST_PIECE_BYTES = 300;

/** An answer as it was read. */
export interface RawAnswer {
  readonly status: number;
  readonly body: string;
  /** Header fields by name in lower case. */
  readonly fields: ReadonlyMap<string, string>;
}

/** An answer and the text behind it. */
interface ReadAnswer {
  readonly answer: RawAnswer;
  readonly rest: string;
}

/** One connection. */
export class RawConnection {
  readonly #socket: Socket;
  #received = '';
  readonly #waiting: Array<(answer: RawAnswer | undefined) => void> = [];
  #isClosed = false;

  /** @param address Host and port to connect to. */
  constructor(address: string) {
    const [host, port] = address.split(':');
    this.#socket = connect({host, port: Number(port)});
    this.#socket.setNoDelay();
    this.#socket.on('data', chunk => {
      this.#received += chunk.toString('latin1');
      this.#take(false);
    });
    this.#socket.on('end', () => this.#close());
    this.#socket.on('error', () => this.#close());
    this.#socket.on('close', () => this.#close());
  }

  /** Whether no more answers come. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Resolves with the next answer that nobody waits for yet; undefined if the connection ends before it is whole. */
  nextAnswer(): Promise<RawAnswer | undefined> {
    return new Promise(resolve => {
      if (this.#isClosed) {
        resolve(undefined);
      } else {
        this.#waiting.push(resolve);
      }
    });
  }

  /** Writes a text in one piece, or in pieces whose sizes are drawn. */
  async write(
    text: string,
    drawPieceBytes: ((bound: number) => number) | undefined,
  ): Promise<void> {
    for (let at = 0; at < text.length && !this.#isClosed;) {
      const bytes = drawPieceBytes
        ? 1 + drawPieceBytes(LARGEST_PIECE_BYTES)
        : text.length;
      if (!this.#socket.write(text.slice(at, at + bytes), 'latin1')) {
        await Promise.race([
          once(this.#socket, 'drain'),
          once(this.#socket, 'close'),
        ]).catch(() => this.#close());
      }
      at += bytes;
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  close(): void {
    this.#socket.destroy();
    this.#close();
  }

  #close(): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.#take(true);
      this.#waiting.splice(0).forEach(resolve => resolve(undefined));
    }
  }

  #take(isEnd: boolean): void {
    for (;;) {
      const read = readAnswer(this.#received, isEnd);
      if (read === undefined) {
        return;
      }
      this.#received = read.rest;
      this.#waiting.shift()?.(read.answer);
    }
  }
}

/** Reads the first answer; undefined if it isn't whole. @param isEnd Whether nothing more comes. */
function readAnswer(text: string, isEnd: boolean): ReadAnswer | undefined {
  const headEnd = text.indexOf('\r\n\r\n');
  const [line, ...lines] = text.slice(0, Math.max(0, headEnd)).split('\r\n');
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(line)?.[1] ?? NaN);
  if (headEnd === -1 || Number.isNaN(status)) {
    return undefined;
  }
  const fields = new Map(
    lines.map(field => {
      const colon = field.indexOf(':');
      return [
        field.slice(0, colon).toLowerCase(),
        field.slice(colon + 1).trim(),
      ];
    }),
  );
  const after = text.slice(headEnd + 4);
  const length = fields.get('content-length');
  if (fields.has('transfer-encoding')) {
    const chunked = readChunks(after);
    return (
      chunked && {
        answer: {status, fields, body: chunked.body},
        rest: chunked.rest,
      }
    );
  }
  if (length === undefined) {
    return isEnd
      ? {answer: {status, fields, body: after}, rest: ''}
      : undefined;
  }
  const bytes = Number(length);
  return after.length < bytes
    ? undefined
    : {
        answer: {status, fields, body: after.slice(0, bytes)},
        rest: after.slice(bytes),
      };
}

function readChunks(
  text: string,
): {readonly body: string; readonly rest: string} | undefined {
  let body = '';
  for (let at = 0; ;) {
    const lineEnd = text.indexOf('\r\n', at);
    const bytes = Number.parseInt(text.slice(at, lineEnd), 16);
    const end = lineEnd + 2 + bytes + 2;
    if (lineEnd === -1 || !(end <= text.length)) {
      return undefined;
    }
    if (bytes === 0) {
      return {body, rest: text.slice(end)};
    }
    body += text.slice(lineEnd + 2, end - 2);
    at = end;
  }
}
