/** What is noted of an answer that was read from a connection. */

import {nowMs, type CallRecord} from './history.js';
import type {RawAnswer} from './raw-connection.js';

/** Takes an answer; undefined if its connection ended before it was whole. Returns whether its connection ends with it. */
export function noteAnswer(
  call: CallRecord,
  answer: RawAnswer | undefined,
): boolean {
  call.endedAtMs = nowMs();
  if (answer === undefined) {
    call.error = 'the connection ended without a whole answer';
    return false;
  }
  const {status, body, fields} = answer;
  call.status = status;
  call.body = body;
  call.worker = fields.get('wasabidyke-server-seal')?.replace('seal-', '');
  call.retryAfterSeconds = Number(fields.get('retry-after'));
  return fields.get('connection') === 'close';
}
