/** Answers to requests that Node's parser refuses. */

import type {Socket} from 'node:net';

/** Answers a malformed or oversized request, or one that took too long to arrive. */
export function refuseMalformed(error: Error, socket: Socket): void {
  const {code} = error as NodeJS.ErrnoException;
  if (!socket.writable || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status =
    code === 'ERR_HTTP_REQUEST_TIMEOUT'
      ? '408 Request Timeout'
      : code === 'HPE_HEADER_OVERFLOW'
        ? '431 Request Header Fields Too Large'
        : '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
  );
}
