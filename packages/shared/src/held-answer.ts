/** Ends of connections whose answer is held back because its reader is slower. */

import type {Socket} from 'node:net';

/** Code that undici gives a connection that the other side closed. */
const CLOSED_CODE = 'UND_ERR_SOCKET';

/**
 * Has undici end an answer that is held back when its connection ends. Undici
 * finishes its parser then, which fails an assertion outside any handler while
 * the parser is paused. To be called before undici listens to the socket.
 * @param onEnd Resumes the answer, and lets nothing hold it back any more.
 */
export function endHeldAnswer(socket: Socket, onEnd: () => void): void {
  socket.once('end', onEnd);
  socket.once('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') {
      // Undici takes this code for the end of an answer that closes its connection.
      error.code = CLOSED_CODE;
    }
  });
}
