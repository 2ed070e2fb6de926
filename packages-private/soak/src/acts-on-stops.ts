/** Planned stops beside orders that may outlast them. */

import {request as sendRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {chooseSteadyKey, toKeyFields} from './accounts.js';
import type {Site} from './acts.js';
import {STOP_WITHIN_MS} from './entry-process.js';
import {nowMs, type CallRecord} from './history.js';
import {HOST} from './routes.js';
import type {Step} from './schedule.js';
import {LONG_PREFIX} from './worker-stand-in.js';

/** Orders that are sent while an entry stops, the pause before each, and their deadline, in milliseconds. */
const ORDERS = 4;
const ORDER_PAUSE_MS = 600;
const DEADLINE_MS = 18_000;

/** Longest time from the first signal to the second, in milliseconds. */
const LONGEST_SECOND_MS = 3_000;

/** Stops an entry with two signals, and sends it orders whose work takes about as long as the stop. */
export async function stopBesideLongOrders(
  {entries, history}: Site,
  {subject}: Step,
): Promise<void> {
  const entry = entries[subject % entries.length];
  if (!entry.isRunning) {
    // It was killed, and the next process isn't told to stop.
    return;
  }
  const fromMs = nowMs();
  history.disturbances.push({
    subject: entry.address,
    what: 'entry-stop',
    fromMs,
    toMs: fromMs + STOP_WITHIN_MS,
    isPlanned: true,
  });
  const stopped = entry.stop();
  const {pid} = entry;
  setTimeout(() => {
    if (entry.pid === pid) {
      entry.signal('SIGTERM');
    }
  }, subject % LONGEST_SECOND_MS);
  const chooseKey = chooseSteadyKey(history, subject);
  const orders: Array<Promise<void>> = [];
  for (let index = 0; index < ORDERS; index++) {
    await sleep(ORDER_PAUSE_MS);
    const path = `${LONG_PREFIX}${subject}-${history.calls.length}`;
    const record: CallRecord = {
      id: path,
      kind: 'unsafe',
      path,
      entry: entry.address,
      sentAtMs: nowMs(),
      isLong: true,
      key: chooseKey({nextBelow: () => 0})?.key,
    };
    history.calls.push(record);
    orders.push(send(record));
  }
  await Promise.all(orders);
  await stopped;
}

function send(record: CallRecord): Promise<void> {
  const [host, port] = record.entry.split(':');
  return new Promise(resolve => {
    const end = () => {
      record.endedAtMs = nowMs();
      resolve();
    };
    const request = sendRequest({
      host,
      port,
      path: record.path,
      method: 'POST',
      agent: false,
      headers: {
        host: HOST,
        'wasabidyke-attempt-id': record.id,
        'wasabidyke-request-deadline-ms': String(DEADLINE_MS),
        ...toKeyFields(record.key),
      },
    });
    request.on('response', response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', end);
      response.on('end', () => {
        record.status = response.statusCode;
        record.body = Buffer.concat(chunks).toString('utf8');
        const seal = response.headers['wasabidyke-server-seal'];
        record.worker = seal?.toString().replace('seal-', '');
        end();
      });
    });
    request.on('error', error => {
      record.error = error.message;
      end();
    });
    request.end();
  });
}
