/** Reads request bodies up to a size limit, within the memory that all of them share. */

import type {IncomingMessage} from 'node:http';
import {ByteCollector} from '@wasabidyke/shared';
import {MemoryBudget} from '../exchange/memory-budget.js';

/** A complete body, or the reason why there is none. */
export type BodyResult =
  | {
      readonly kind: 'body';
      readonly body: Buffer | null;
      /** Returns the memory of the body. */
      readonly release: () => void;
    }
  | BodyExcess
  | {readonly kind: 'broken-off'}
  /** All bodies together would take more than they may; this one was not read. */
  | {readonly kind: 'no-memory'}
  /** It was not complete in time. */
  | {readonly kind: 'overdue'};

/** A body is over a limit: by the length that its head declares, by the bytes that were read, or by its number of chunks. */
export interface BodyExcess {
  readonly kind: 'too-large';
  readonly measure: 'declared-length' | 'read-length' | 'chunk-count';
  /** The size by that measure, in bytes or chunks, and the limit that it exceeds. */
  readonly size: number;
  readonly limit: number;
  /** Bytes that were read. */
  readonly readBytes: number;
}

/** Why there is no body. */
export type BodyFailure = Exclude<BodyResult, {kind: 'body'}>;

/** Memory for request bodies, in bytes: the largest body that sites allow, and half of it for others; with the rest of an entry it stays within the memory of the smallest VMs. */
const CAPACITY_BYTES = 100_663_296;

/** Chunks that a body may have whatever its size, and the bytes that each further one must bring on average. */
const MAXIMUM_SMALL_CHUNKS = 16_384;
const MINIMUM_CHUNK_BYTES = 8;

/** How a body is read. */
export interface BodyOptions {
  readonly limitBytes: number;
  readonly memory: MemoryBudget;
  /** Time in which the body must be complete, in milliseconds. */
  readonly withinMs: number;
}

/** Creates the memory that all bodies of one entry share. */
export function createBodyMemory(): MemoryBudget {
  return new MemoryBudget(CAPACITY_BYTES);
}

/** A body that is being read, or was. */
export interface BodyReading {
  readonly result: BodyResult | Promise<BodyResult>;
  /** Returns the memory of a body that is not needed. What is still to come is read and dropped, within the same limits. */
  discard(): void;
}

/** Reads a complete body; null if the request has none. */
export function readBody(
  request: IncomingMessage,
  options: BodyOptions,
): BodyResult | Promise<BodyResult> {
  return startReading(request, options).result;
}

/** Starts to read a body, as `readBody` does. */
export function startReading(
  request: IncomingMessage,
  options: BodyOptions,
): BodyReading {
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (!isChunked && declaredBytes === 0) {
    const hasLength = request.headers['content-length'] !== undefined;
    const body = hasLength ? Buffer.alloc(0) : null;
    const result: BodyResult = {kind: 'body', body, release: () => {}};
    return {result, discard: () => {}};
  }
  if (declaredBytes > options.limitBytes) {
    const result: BodyResult = {
      kind: 'too-large',
      measure: 'declared-length',
      size: declaredBytes,
      limit: options.limitBytes,
      readBytes: 0,
    };
    return {result, discard: () => {}};
  }
  return isChunked
    ? new ChunkedBody(request, options)
    : new SizedBody(request, options, declaredBytes);
}

/** A body that is being read. */
abstract class PendingBody implements BodyReading {
  readonly result: Promise<BodyResult>;
  protected readonly options: BodyOptions;
  readonly #request: IncomingMessage;
  #settle: (result: BodyResult) => void = () => {};
  readonly #timer: NodeJS.Timeout;
  #isEnded = false;
  #isDiscarded = false;
  #release: () => void = () => {};

  constructor(request: IncomingMessage, options: BodyOptions) {
    this.#request = request;
    this.options = options;
    this.result = new Promise(resolve => (this.#settle = resolve));
    this.#timer = setTimeout(
      () => this.fail({kind: 'overdue'}),
      Math.min(options.withinMs, LONGEST_TIMER_MS),
    );
    request.on('data', (chunk: Buffer) => this.#onData(chunk));
    request.once('end', () => this.#onEnd());
    request.once('error', () => this.fail({kind: 'broken-off'}));
    request.once('close', () => this.fail({kind: 'broken-off'}));
  }

  discard(): void {
    this.#release();
    if (!this.#isEnded && !this.#isDiscarded) {
      this.#isDiscarded = true;
      this.options.memory.release(this.takenBytes);
      this.drop();
    }
  }

  /** Whether chunks are only counted. */
  protected get isDiscarded(): boolean {
    return this.#isDiscarded;
  }

  /** Memory that was taken for it, in bytes. */
  protected abstract get takenBytes(): number;

  /** Forgets what was kept, whose memory has been returned. */
  protected abstract drop(): void;

  /** Keeps a chunk, unless the body is discarded; fails the body if it can't. */
  protected abstract keep(chunk: Buffer): void;

  /** All that was kept; undefined if there is no memory to put it together. */
  protected abstract complete(): Buffer | undefined;

  protected fail(failure: BodyFailure): void {
    if (this.#end()) {
      this.#request.pause();
      this.options.memory.release(this.takenBytes);
      this.#settle(failure);
    }
  }

  #onData(chunk: Buffer): void {
    if (!this.#isEnded) {
      this.keep(chunk);
    }
  }

  #onEnd(): void {
    const isKept = !this.#isEnded && !this.#isDiscarded;
    const body = isKept ? this.complete() : undefined;
    if (body === undefined && !this.#isDiscarded) {
      this.fail({kind: 'no-memory'});
      return;
    }
    if (this.#end()) {
      const {memory} = this.options;
      let heldBytes = this.takenBytes;
      const release = () => {
        memory.release(heldBytes);
        heldBytes = 0;
      };
      this.#release = release;
      this.#settle({kind: 'body', body: body ?? null, release});
    }
  }

  #end(): boolean {
    const isFirst = !this.#isEnded;
    this.#isEnded = true;
    clearTimeout(this.#timer);
    return isFirst;
  }
}

/** Longest time of a timer, in milliseconds. */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

/** A body whose length is known: its memory is taken before it is read, so that what is begun can be completed. */
class SizedBody extends PendingBody {
  readonly #declaredBytes: number;
  #hasMemory: boolean;
  #body: Buffer | undefined;
  #usedBytes = 0;

  constructor(
    request: IncomingMessage,
    options: BodyOptions,
    declaredBytes: number,
  ) {
    super(request, options);
    this.#declaredBytes = declaredBytes;
    this.#hasMemory = options.memory.take(declaredBytes);
    if (!this.#hasMemory) {
      this.fail({kind: 'no-memory'});
    }
  }

  protected override get takenBytes(): number {
    return this.#hasMemory ? this.#declaredBytes : 0;
  }

  protected override drop(): void {
    this.#hasMemory = false;
    this.#body = undefined;
  }

  protected override keep(chunk: Buffer): void {
    if (this.isDiscarded) {
      return;
    }
    this.#body ??= Buffer.allocUnsafeSlow(this.#declaredBytes);
    this.#usedBytes += chunk.copy(this.#body, this.#usedBytes);
  }

  protected override complete(): Buffer {
    return this.#body ?? Buffer.alloc(0);
  }
}

/** A body in chunks: its memory is taken as it comes, and once more to put it together. */
class ChunkedBody extends PendingBody {
  readonly #collector = new ByteCollector();
  #chunks = 0;
  #bytes = 0;
  #takenBytes = 0;

  protected override get takenBytes(): number {
    return this.#takenBytes;
  }

  protected override drop(): void {
    this.#collector.clear();
    this.#takenBytes = 0;
  }

  protected override keep(chunk: Buffer): void {
    const {limitBytes} = this.options;
    this.#chunks += 1;
    const allowedChunks =
      MAXIMUM_SMALL_CHUNKS + this.#bytes / MINIMUM_CHUNK_BYTES;
    this.#bytes += chunk.length;
    if (this.#bytes > limitBytes) {
      this.#exceed('read-length', this.#bytes, limitBytes);
    } else if (this.#chunks > allowedChunks) {
      this.#exceed('chunk-count', this.#chunks, Math.floor(allowedChunks));
    } else if (this.isDiscarded) {
      return;
    } else if (this.#take(this.#collector.growthFor(chunk.length))) {
      this.#collector.append(chunk);
    } else {
      this.fail({kind: 'no-memory'});
    }
  }

  #exceed(measure: BodyExcess['measure'], size: number, limit: number): void {
    const readBytes = this.#bytes;
    this.fail({kind: 'too-large', measure, size, limit, readBytes});
  }

  protected override complete(): Buffer | undefined {
    const {bytes, heldBytes} = this.#collector;
    if (!this.#take(bytes)) {
      return undefined;
    }
    const body = this.#collector.take();
    this.options.memory.release(heldBytes);
    this.#takenBytes -= heldBytes;
    return body;
  }

  #take(bytes: number): boolean {
    const isTaken = this.options.memory.take(bytes);
    this.#takenBytes += isTaken ? bytes : 0;
    return isTaken;
  }
}
