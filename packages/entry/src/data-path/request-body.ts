/** Reads the bodies of requests within their limits. */

import type {IncomingMessage} from 'node:http';
import {Transform, type Readable, type TransformCallback} from 'node:stream';

/** A body that was read whole, or why not. */
export type BodyResult =
  | {readonly kind: 'body'; readonly body: Buffer}
  | {readonly kind: 'too-large'}
  | {readonly kind: 'broken-off'};

/** Whether a request has a body at all. */
export function hasBody(request: IncomingMessage): boolean {
  return (
    request.headers['transfer-encoding'] !== undefined ||
    Number(request.headers['content-length'] ?? 0) > 0
  );
}

/** The length that a request states for its body; undefined when it states none. */
export function readStatedLength(request: IncomingMessage): number | undefined {
  const text = request.headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/** Reads a whole body of at most `limitBytes`. */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<BodyResult> {
  if ((readStatedLength(request) ?? 0) > limitBytes) {
    return {kind: 'too-large'};
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > limitBytes) {
        return {kind: 'too-large'};
      }
      chunks.push(chunk);
    }
  } catch {
    return {kind: 'broken-off'};
  }
  return {kind: 'body', body: Buffer.concat(chunks)};
}

/** The body as a stream of at most `limitBytes`; longer ones break off the attempt. */
export function streamBody(
  request: IncomingMessage,
  limitBytes: number,
): Readable {
  if (readStatedLength(request) !== undefined) {
    return request;
  }
  const limiter = new LimitedBody(limitBytes);
  request.once('error', error => limiter.destroy(error));
  return request.pipe(limiter);
}

class LimitedBody extends Transform {
  readonly #limitBytes: number;
  #bytes = 0;

  constructor(limitBytes: number) {
    super();
    this.#limitBytes = limitBytes;
  }

  override _transform(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: TransformCallback,
  ): void {
    this.#bytes += chunk.length;
    if (this.#bytes > this.#limitBytes) {
      callback(new Error('the body is longer than allowed'));
      return;
    }
    callback(null, chunk);
  }
}
