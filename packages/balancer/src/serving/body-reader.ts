/** Reads request bodies up to a size limit. */

import type {IncomingMessage} from 'node:http';

/** A complete body, or the reason why there is none. */
export type BodyResult =
  | {readonly kind: 'body'; readonly body: Buffer | null}
  | {readonly kind: 'too-large'}
  | {readonly kind: 'broken-off'};

/** Reads a complete body of at most `limitBytes`; null if the request has none. */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
): BodyResult | Promise<BodyResult> {
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (!isChunked && declaredBytes === 0) {
    const hasLength = request.headers['content-length'] !== undefined;
    return {kind: 'body', body: hasLength ? Buffer.alloc(0) : null};
  }
  if (declaredBytes > limitBytes) {
    return {kind: 'too-large'};
  }
  return collectChunks(request, limitBytes);
}

function collectChunks(
  request: IncomingMessage,
  limitBytes: number,
): Promise<BodyResult> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    request.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > limitBytes) {
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
