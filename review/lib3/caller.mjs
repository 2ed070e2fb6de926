/** A caller of the platform: sends one request on a connection of its own. */

import {randomBytes} from 'node:crypto';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST} from './case.mjs';

/**
 * Sends one client attempt. Resolves with its attempt id, the status (0 without
 * an answer), and whether the whole body came.
 * @param options `port`, `method`, `path`, `body`, `deadlineMs`, `record`; `headDelayMs`, the time between the
 *   connection and the request.
 */
export async function sendAttempt(options) {
  const {port, method, path, deadlineMs, record} = options;
  const {body = '', headDelayMs = 0} = options;
  const attempt = randomBytes(8).toString('hex');
  const head = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Wasabidyke-Attempt-Id: ${attempt}`,
    `Wasabidyke-Request-Deadline-Ms: ${deadlineMs}`,
    ...(body === '' ? [] : [`Content-Length: ${body.length}`]),
  ].join('\r\n');
  const socket = connect({port, host: '127.0.0.1'});
  const answer = {attempt, status: 0, bytes: 0, isWhole: false};
  let received = Buffer.alloc(0);
  let expected = Infinity;
  const ended = new Promise(resolve => {
    socket.once('close', resolve);
    socket.once('error', error => record.add('error', attempt, error.code));
  });
  socket.on('data', chunk => {
    answer.bytes += chunk.length;
    if (answer.status === 0) {
      received = Buffer.concat([received, chunk]);
      const headEnd = received.indexOf('\r\n\r\n');
      if (headEnd >= 0) {
        const text = received.subarray(0, headEnd).toString('latin1');
        answer.status = Number(/^HTTP\/1.1 (\d+)/.exec(text)[1]);
        const length = /^content-length: (\d+)/im.exec(text);
        expected = headEnd + 4 + Number(length[1]);
        record.add('answer', attempt, answer.status);
      }
    }
    if (answer.bytes >= expected) {
      answer.isWhole = true;
      socket.destroy();
    }
  });
  const timer = setTimeout(() => socket.destroy(), deadlineMs + headDelayMs);
  socket.once('connect', async () => {
    await sleep(headDelayMs);
    record.add('sent', attempt, method, path);
    socket.write(`${head}\r\n\r\n${body}`);
  });
  await ended;
  clearTimeout(timer);
  const state = answer.isWhole ? 'whole' : `cut after ${answer.bytes}`;
  record.add('ended', attempt, answer.status, state);
  return answer;
}
