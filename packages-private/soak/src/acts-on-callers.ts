/** What callers do beside their usual requests: an account that sends more than its quota, and orders that come late on their connections. */

import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@wasabidyke/policy';
import {chooseSteadyKey, SURGING_KEY} from './accounts.js';
import type {Site} from './acts.js';
import type {EntryProcess} from './entry-process.js';
import {nowMs, type CallRecord, type History} from './history.js';
import {HOST} from './routes.js';
import type {Step} from './schedule.js';

/** Requests per second of the account that surges: five times its quota. */
const SURGE_PER_SECOND = 40;

/** Orders per second on connections of their own. */
const LATE_PER_SECOND = 15;

/** Longest time from a connection to its order, in milliseconds: around the time that the configuration allows, so that some cross a refusal. */
const LONGEST_HEAD_DELAY_MS = 4_300;

/** Time that requests have, and in which their answers must have come, in milliseconds. */
const DEADLINE_MS = 2_000;
const ANSWER_WITHIN_MS = 8_000;

/** Sends more requests of one account than its quota allows, to all entries. */
export function surgeAccount(site: Site, step: Step): Promise<void> {
  return sendAtRate(site, step, SURGE_PER_SECOND, (entry, number) => ({
    id: `surge-${step.subject}-${number}`,
    kind: 'safe',
    path: `/read/surge-${step.subject}-${number}`,
    entry: entry.address,
    sentAtMs: nowMs(),
    key: SURGING_KEY,
    isSurging: true,
  }));
}

/** Sends orders that come long after their connections were opened. */
export function sendLateOrders(site: Site, step: Step): Promise<void> {
  const random = new SeededRandom(step.subject);
  const chooseKey = chooseSteadyKey(site.history, step.subject);
  return sendAtRate(
    site,
    step,
    LATE_PER_SECOND,
    (entry, number) => ({
      id: `late-${step.subject}-${number}`,
      kind: 'unsafe',
      path: `/write/late-${step.subject}-${number}`,
      entry: entry.address,
      sentAtMs: nowMs(),
      key: chooseKey(random)?.key,
      isLate: true,
    }),
    () => random.nextBelow(LONGEST_HEAD_DELAY_MS),
  );
}

async function sendAtRate(
  {entries, history}: Site,
  {forMs, subject}: Step,
  perSecond: number,
  toCall: (entry: EntryProcess, number: number) => CallRecord,
  drawDelayMs: () => number = () => 0,
): Promise<void> {
  const random = new SeededRandom(subject);
  const startMs = nowMs();
  const sent: Array<Promise<void>> = [];
  for (let number = 0; number * 1_000 < forMs * perSecond; number++) {
    const dueMs = startMs + (number * 1_000) / perSecond;
    await sleep(Math.max(0, dueMs - nowMs()));
    const entry = entries[random.nextBelow(entries.length)];
    const call = () => toCall(entry, number);
    sent.push(sendOnOwnConnection(entry, call, drawDelayMs(), history));
  }
  await Promise.all(sent);
}

/** Opens a connection past the link of an entry, which would close it after a refusal, and sends a request on it after a time. */
async function sendOnOwnConnection(
  {address}: EntryProcess,
  toCall: () => CallRecord,
  delayMs: number,
  history: History,
): Promise<void> {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port), allowHalfOpen: true});
  let received = '';
  let hasFailed = false;
  const ended = new Promise<void>(resolve => {
    socket.on('end', resolve);
    socket.on('close', () => resolve());
    socket.on('error', () => {
      hasFailed = true;
      resolve();
    });
  });
  socket.on('data', chunk => (received += chunk.toString('latin1')));
  await sleep(delayMs);
  if (hasFailed || socket.destroyed) {
    return;
  }
  const call = toCall();
  history.calls.push(call);
  socket.write(toText(call));
  await Promise.race([ended, sleep(ANSWER_WITHIN_MS)]);
  socket.destroy();
  readAnswer(call, received);
  call.endedAtMs = nowMs();
}

function toText({kind, path, id, key}: CallRecord): string {
  return [
    `${kind === 'safe' ? 'GET' : 'POST'} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Wasabidyke-Attempt-Id: ${id}`,
    `Wasabidyke-Request-Deadline-Ms: ${DEADLINE_MS}`,
    ...(key === undefined ? [] : [`Wasabidyke-Key: ${key}`]),
    'Connection: close',
    'Content-Length: 0',
    '\r\n',
  ].join('\r\n');
}

/** Takes the first answer on the connection; one that isn't whole counts as none. */
function readAnswer(call: CallRecord, received: string): void {
  const end = received.indexOf('\r\n\r\n');
  const head = received.slice(0, end);
  const [, status] = /^HTTP\/1\.1 (\d{3}) /.exec(head) ?? [];
  const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? NaN);
  const body = received.slice(end + 4);
  if (end === -1 || status === undefined || body.length < length) {
    call.error = 'the connection ended without a whole answer';
    return;
  }
  call.status = Number(status);
  call.body = body.slice(0, length);
  call.worker = /^wasabidyke-server-seal: seal-(\S+)$/im.exec(head)?.[1];
}
