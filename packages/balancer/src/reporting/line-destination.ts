/** Where log lines go: gathered into few writes, and never waited for. */

import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import pino from 'pino';

/** Takes log lines. */
export abstract class LineDestination {
  /** @param text A line with its end. */
  abstract write(text: string): void;

  /** Writes what is gathered, as far as it is taken without waiting. */
  abstract flush(): void;
}

const STANDARD_OUTPUT = 1;

/** Bytes that are gathered into one write. */
const WRITE_BYTES = 4_096;

/** Bytes that wait for a reader at most; further lines are dropped. */
const MAXIMUM_WAITING_BYTES = 1_048_576;

/** Longest time that a line waits to be written, in milliseconds. */
const FLUSH_PERIOD_MS = 250;

/** Opens standard output. @param onDrop Told of each line that was dropped. */
export function openStandardOutput(onDrop: () => void): LineDestination {
  const status = fstatSync(STANDARD_OUTPUT);
  return status.isFIFO() || status.isSocket()
    ? new StreamDestination(openPipe(), onDrop)
    : new FileDestination(onDrop);
}

/** A pipe that doesn't block: `process.stdout` would. */
function openPipe(): Writable {
  const pipe = new Socket({fd: STANDARD_OUTPUT, readable: false});
  // Without a reader there is nobody to tell.
  pipe.on('error', () => {});
  pipe.unref();
  return pipe;
}

/** A stream whose reader may be slow or gone. */
export class StreamDestination extends LineDestination {
  readonly #stream: Writable;
  readonly #onDrop: () => void;
  #lines: string[] = [];
  #gatheredBytes = 0;

  constructor(stream: Writable, onDrop: () => void) {
    super();
    this.#stream = stream;
    this.#onDrop = onDrop;
    setInterval(() => this.flush(), FLUSH_PERIOD_MS).unref();
  }

  override write(text: string): void {
    const waiting = this.#stream.writableLength + this.#gatheredBytes;
    if (waiting > MAXIMUM_WAITING_BYTES || this.#stream.destroyed) {
      this.#onDrop();
      return;
    }
    this.#lines.push(text);
    this.#gatheredBytes += text.length;
    if (this.#gatheredBytes >= WRITE_BYTES) {
      this.flush();
    }
  }

  override flush(): void {
    if (this.#lines.length === 0) {
      return;
    }
    this.#stream.write(this.#lines.join(''));
    this.#lines = [];
    this.#gatheredBytes = 0;
  }
}

/** A file or a terminal, which takes what it is given. */
class FileDestination extends LineDestination {
  readonly #file: ReturnType<typeof pino.destination>;

  constructor(onDrop: () => void) {
    super();
    this.#file = pino.destination({
      fd: STANDARD_OUTPUT,
      sync: false,
      minLength: WRITE_BYTES,
      maxLength: MAXIMUM_WAITING_BYTES,
      periodicFlush: FLUSH_PERIOD_MS,
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
