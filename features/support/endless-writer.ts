/** Writing without end. */

import type {Socket} from 'node:net';

/** Bytes that an endless answer repeats, and how many of them are written at a time. */
const ENDLESS_REPEATS = 4_096;

/** Writes a text, and another one again and again, as fast as the other side reads. */
export function writeEndlessly(
  socket: Socket,
  first: string,
  repeated: string,
): void {
  const bytes = Buffer.from(repeated.repeat(ENDLESS_REPEATS));
  const writeMore = () => {
    while (!socket.destroyed && socket.write(bytes)) {
      // Written until the other side falls behind.
    }
  };
  socket.on('drain', writeMore);
  socket.write(first);
  writeMore();
}
