/** A request that crashes each worker that begins to run it, and that its caller sends again and again to any entry. */

import {request as sendRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@wasabidyke/policy';
import {HOST} from './caller.js';
import type {EntryProcess} from './entry-process.js';
import {nowMs, type CallRecord, type History} from './history.js';
import {CRASHING_PATH} from './worker-stand-in.js';

/** Pause between sends, and what the caller waits for an answer, in milliseconds. */
const PAUSE_MS = 250;
const DEADLINE_MS = 1_000;

/** Sends a crashing request until the run is over. @param listEntries Entries that may run now. @param seed Draws its kind and the entries that it is sent to. */
export async function sendCrashing(
  listEntries: () => readonly EntryProcess[],
  history: History,
  seed: number,
): Promise<void> {
  const random = new SeededRandom(seed);
  const kind = random.nextBelow(2) === 0 ? 'safe' : 'unsafe';
  const prefix = kind === 'safe' ? '/read/' : '/write/';
  const path = `${prefix}${CRASHING_PATH}${seed}-${history.calls.length}`;
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
    };
    history.calls.push(record);
    await send(record, entry.address);
    record.endedAtMs = nowMs();
    await sleep(PAUSE_MS);
  }
}

/** Sends it past the link of the entry for callers: the faults of that link are none of its own. */
function send(record: CallRecord, address: string): Promise<void> {
  const [host, port] = address.split(':');
  const method = record.kind === 'safe' ? 'GET' : 'POST';
  return new Promise(resolve => {
    const headers = {
      host: HOST,
      'wasabidyke-attempt-id': record.id,
      'wasabidyke-request-deadline-ms': String(DEADLINE_MS),
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
    request.setTimeout(DEADLINE_MS, () => {
      record.leftAtMs = nowMs();
      request.destroy();
    });
    request.on('error', error => {
      record.error = error.message;
      resolve();
    });
    request.end();
  });
}
