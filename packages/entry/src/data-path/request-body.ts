/** Reads request bodies up to a size limit. */

import {ByteCollector} from '@wasabidyke/shared';
import type {IncomingMessage} from 'node:http';
import {Transform, type Readable, type TransformCallback} from 'node:stream';

/** A complete body, or why it could not be read. */
export type BodyResult =
  | {readonly kind: 'body'; readonly body: Buffer}
  | {readonly kind: 'too-large'}
  | {readonly kind: 'broken-off'};

/** Whether a request has a body. */
export function hasBody(request: IncomingMessage): boolean {
  return (
    request.headers['transfer-encoding'] !== undefined ||
    Number(request.headers['content-length'] ?? 0) > 0
  );
}

/** Reads the Content-Length header; undefined when there is none. */
export function readContentLength(
  request: IncomingMessage,
): number | undefined {
  const text = request.headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/** Reads a body of at most `limitBytes` into memory. */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<BodyResult> {
  if ((readContentLength(request) ?? 0) > limitBytes) {
    return {kind: 'too-large'};
  }
  const collector = new ByteCollector();
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      if (collector.bytes + chunk.length > limitBytes) {
        return {kind: 'too-large'};
      }
      collector.append(chunk);
    }
  } catch {
    return {kind: 'broken-off'};
  }
  return {kind: 'body', body: collector.take()};
}

/** Returns the body as a stream that fails, and ends the attempt, after `limitBytes`. */
export function streamBody(
  request: IncomingMessage,
  limitBytes: number,
): Readable {
  if (readContentLength(request) !== undefined) {
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
      callback(new Error('the request body is larger than the limit'));
      return;
    }
    callback(null, chunk);
  }
}
