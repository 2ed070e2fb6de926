/** Reads the bodies of requests within their limit. */

import type {IncomingMessage} from 'node:http';

/** A body that was read whole, or why not. */
export type BodyResult =
  | {readonly kind: 'body'; readonly body: Buffer | null}
  | {readonly kind: 'too-large'}
  | {readonly kind: 'broken-off'};

/** Reads a whole body of at most `limitBytes`; null where the request has none. */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
): BodyResult | Promise<BodyResult> {
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  const statedBytes = Number(request.headers['content-length'] ?? 0);
  if (!isChunked && statedBytes === 0) {
    const hasLength = request.headers['content-length'] !== undefined;
    return {kind: 'body', body: hasLength ? Buffer.alloc(0) : null};
  }
  if (statedBytes > limitBytes) {
    return {kind: 'too-large'};
  }
  return collect(request, limitBytes);
}

function collect(
  request: IncomingMessage,
  limitBytes: number,
): Promise<BodyResult> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > limitBytes) {
        request.pause();
        resolve({kind: 'too-large'});
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () => {
      const body = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
      resolve({kind: 'body', body});
    });
    request.once('error', () => resolve({kind: 'broken-off'}));
    request.once('close', () => resolve({kind: 'broken-off'}));
  });
}
