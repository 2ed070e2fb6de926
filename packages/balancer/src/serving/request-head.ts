/** Size of the heads of requests. */

import type {IncomingMessage} from 'node:http';

/** Length of `: ` and of a line end. */
const HEADER_SEPARATOR_BYTES = 2;

/** Bytes of the header fields of a request, which count for the configured limit; the request line doesn't. */
export function headerBytesOf(request: IncomingMessage): number {
  let bytes = 0;
  for (const part of request.rawHeaders) {
    bytes += part.length + HEADER_SEPARATOR_BYTES;
  }
  return bytes;
}
