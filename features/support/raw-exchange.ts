/** Requests that are written byte by byte, and the statuses of their answers. */

import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Time for answers to what was written, in milliseconds. */
const ANSWERED_WITHIN_MS = 1_500;

/** How bytes are exchanged. */
export interface RawExchange {
  /** Written one after the other, with a pause between them. */
  readonly pieces: readonly string[];
  readonly pauseMs?: number;
  /** Number of answers after which this end closes. */
  readonly answers: number;
  /** Whether this end closes in an orderly way behind the pieces, and reads on. */
  readonly closes?: boolean;
}

/** Cuts a text into pieces of a size. */
export function cutInto(text: string, size: number): readonly string[] {
  const count = Math.ceil(text.length / size);
  return Array.from({length: count}, (_, index) =>
    text.slice(index * size, (index + 1) * size),
  );
}

/** Writes bytes to a new connection; returns the final statuses that were received on it. */
export async function exchangeRaw(
  port: number,
  {pieces, pauseMs = 0, answers, closes = false}: RawExchange,
): Promise<readonly number[]> {
  const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
  socket.setNoDelay();
  let received = '';
  const ended = new Promise<void>(resolve => {
    const timer = setTimeout(resolve, ANSWERED_WITHIN_MS);
    const end = () => {
      clearTimeout(timer);
      resolve();
    };
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
      if (statusesOf(received).length >= answers) {
        end();
      }
    });
    socket.on('end', end);
    socket.on('error', end);
  });
  for (const piece of pieces) {
    socket.write(piece, 'latin1');
    if (pauseMs > 0) {
      await sleep(pauseMs);
    }
  }
  if (closes) {
    socket.end();
  }
  await ended;
  socket.destroy();
  return statusesOf(received);
}

/** The final statuses of answers, in their order. */
function statusesOf(received: string): readonly number[] {
  const heads = received.matchAll(/HTTP\/1\.1 ([2-5]\d\d) /g);
  return [...heads].map(([, status]) => Number(status));
}
