/** Destinations of log lines: lines are buffered into few writes, and writing never blocks. */

import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import pino from 'pino';

/** Destination of log lines. */
export abstract class LineDestination {
  /** @param text A line including its line break. */
  abstract write(text: string): void;

  /** Writes buffered lines, as far as possible without waiting. */
  abstract flush(): void;
}

const STANDARD_OUTPUT = 1;

/** Buffered bytes at which they are written. */
const WRITE_BYTES = 4_096;

/** Maximum bytes that wait for the reader; further lines are dropped. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576;

/** Maximum time that a line is buffered before it is written, in milliseconds. */
const FLUSH_INTERVAL_MS = 250;

/** Opens standard output. @param onDrop Called for each dropped line. */
export function openStandardOutput(onDrop: () => void): LineDestination {
  const status = fstatSync(STANDARD_OUTPUT);
  return status.isFIFO() || status.isSocket()
    ? new StreamDestination(openPipe(), onDrop)
    : new FileDestination(onDrop);
}

/** Opens standard output as a non-blocking pipe: `process.stdout` would block. */
function openPipe(): Writable {
  const pipe = new Socket({fd: STANDARD_OUTPUT, readable: false});
  // Without a reader there is nowhere to report the error.
  pipe.on('error', () => {});
  pipe.unref();
  return pipe;
}

/** Writes to a stream whose reader may be slow or gone. */
export class StreamDestination extends LineDestination {
  readonly #stream: Writable;
  readonly #onDrop: () => void;
  #lines: string[] = [];
  #bufferedBytes = 0;

  constructor(stream: Writable, onDrop: () => void) {
    super();
    this.#stream = stream;
    this.#onDrop = onDrop;
    setInterval(() => this.flush(), FLUSH_INTERVAL_MS).unref();
  }

  override write(text: string): void {
    const bufferedBytes = this.#stream.writableLength + this.#bufferedBytes;
    if (bufferedBytes > MAXIMUM_BUFFERED_BYTES || this.#stream.destroyed) {
      this.#onDrop();
      return;
    }
    this.#lines.push(text);
    this.#bufferedBytes += text.length;
    if (this.#bufferedBytes >= WRITE_BYTES) {
      this.flush();
    }
  }

  override flush(): void {
    if (this.#lines.length === 0) {
      return;
    }
    this.#stream.write(this.#lines.join(''));
    this.#lines = [];
    this.#bufferedBytes = 0;
  }
}

/** Writes to a file or a terminal, whose writes always complete. */
class FileDestination extends LineDestination {
  readonly #file: ReturnType<typeof pino.destination>;

  constructor(onDrop: () => void) {
    super();
    this.#file = pino.destination({
      fd: STANDARD_OUTPUT,
      sync: false,
      minLength: WRITE_BYTES,
      maxLength: MAXIMUM_BUFFERED_BYTES,
      periodicFlush: FLUSH_INTERVAL_MS,
    });
    this.#file.on('drop', onDrop);
  }

  override write(text: string): void {
    this.#file.write(text);
  }

  override flush(): void {
    this.#file.flushSync();
  }
}
