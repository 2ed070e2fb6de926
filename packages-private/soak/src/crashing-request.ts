/**
 * A request that crashes each worker that begins to run it, and that its caller
 * sends again and again to any entry. When and how workers end, and how long
 * the caller waits, are drawn once for all sends.
 */

import {request as sendRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom, type RandomSource} from '@wasabidyke/policy';
import {chooseSteadyKey, toKeyFields} from './accounts.js';
import type {EntryProcess} from './entry-process.js';
import {nowMs, type CallRecord, type History} from './history.js';
import {HOST} from './routes.js';
import {drawEnding, toEndingPath} from './worker-ending.js';

/** Pause between sends, in milliseconds. */
const PAUSE_MS = 250;

/** The deadline that a caller names, and the shortest one, in milliseconds. */
const DEADLINE_MS = 1_000;
const SHORTEST_DEADLINE_MS = 150;

/** Shortest and longest time after which a caller leaves that doesn't wait for its answer, in milliseconds. */
const SHORTEST_WAIT_MS = 20;
const LONGEST_WAIT_MS = 300;

/** How long the caller waits. */
interface Patience {
  readonly deadlineMs: number;
  /** Time after which it closes its connection, in milliseconds. */
  readonly waitMs: number;
}

/** Sends a crashing request until the run is over. @param listEntries Entries that may run now. @param seed Draws its kind and the entries that it is sent to. */
export async function sendCrashing(
  listEntries: () => readonly EntryProcess[],
  history: History,
  seed: number,
): Promise<void> {
  const random = new SeededRandom(seed);
  const kind = random.nextBelow(2) === 0 ? 'safe' : 'unsafe';
  const prefix = kind === 'safe' ? '/read/' : '/write/';
  const ending = toEndingPath(drawEnding(random));
  const patience = drawPatience(random);
  const path = `${prefix}${ending}${seed}-${history.calls.length}`;
  const chooseKey = chooseSteadyKey(history, seed);
  for (let sent = 1; !history.isOver; sent++) {
    const entries = listEntries();
    const entry = entries[random.nextBelow(entries.length)];
    const record: CallRecord = {
      id: `${path}-${sent}`,
      kind,
      path,
      entry: entry.address,
      sentAtMs: nowMs(),
      isCrashing: true,
      key: chooseKey(random)?.key,
    };
    history.calls.push(record);
    await send(record, entry.address, patience);
    record.endedAtMs = nowMs();
    await sleep(PAUSE_MS);
  }
}

/** Half of the callers wait for their answers, a quarter leaves early, a quarter has a short deadline. */
function drawPatience(random: RandomSource): Patience {
  const kind = random.nextBelow(4);
  const waitMs =
    SHORTEST_WAIT_MS + random.nextBelow(LONGEST_WAIT_MS - SHORTEST_WAIT_MS);
  const deadlineMs =
    SHORTEST_DEADLINE_MS + random.nextBelow(DEADLINE_MS - SHORTEST_DEADLINE_MS);
  switch (kind) {
    case 0:
      return {deadlineMs: DEADLINE_MS, waitMs};
    case 1:
      return {deadlineMs, waitMs: DEADLINE_MS};
    default:
      return {deadlineMs: DEADLINE_MS, waitMs: DEADLINE_MS};
  }
}

/** Sends it past the link of the entry for callers: the faults of that link are none of its own. */
function send(
  record: CallRecord,
  address: string,
  {deadlineMs, waitMs}: Patience,
): Promise<void> {
  const [host, port] = address.split(':');
  const method = record.kind === 'safe' ? 'GET' : 'POST';
  return new Promise(resolve => {
    const headers = {
      host: HOST,
      'wasabidyke-attempt-id': record.id,
      'wasabidyke-request-deadline-ms': String(deadlineMs),
      ...toKeyFields(record.key),
    };
    const request = sendRequest(
      {host, port, path: record.path, method, headers, agent: false},
      response => {
        record.status = response.statusCode;
        record.retryAfterSeconds = Number(response.headers['retry-after']);
        response.resume();
        response.on('error', () => resolve());
        response.on('end', () => resolve());
      },
    );
    const timer = setTimeout(() => {
      record.leftAtMs = nowMs();
      request.destroy();
    }, waitMs);
    request.on('error', error => {
      record.error = error.message;
      resolve();
    });
    request.on('close', () => {
      clearTimeout(timer);
      resolve();
    });
    request.end();
  });
}
