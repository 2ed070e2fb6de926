/** Size of the heads of requests. */

import type {IncomingMessage} from 'node:http';

/** Length of `: ` and of a line end. */
const HEADER_SEPARATOR_BYTES = 2;

/** Bytes of the head of a request, as they count for the configured limit. */
export function headerBytesOf(request: IncomingMessage): number {
  let bytes = (request.url?.length ?? 0) + (request.method?.length ?? 0);
  for (const part of request.rawHeaders) {
    bytes += part.length + HEADER_SEPARATOR_BYTES;
  }
  return bytes;
}
