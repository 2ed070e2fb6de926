/** A machine is stopped as planned while it delivers a large answer to a caller on a slow link. */

import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendAttempt} from '../lib3/caller.mjs';
import {isTroubled, runCase, toConfiguration} from '../lib3/case.mjs';
import {Entry} from '../lib3/entry.mjs';
import {Store} from '../lib3/store.mjs';
import {Worker} from '../lib3/worker.mjs';

const SERVICE = 'estudio-archivo';
const WORKERS = 4;
const WORK_MS = 260;
const DEADLINE_MS = 6_059;
/** The callers' link: 24 Mbit/s, where machines have 7 to 140. */
const LINK_BYTES_PER_MS = 3_000;
const ANSWER_BYTES = 15_000_000;
const ROUNDS = 5;
/** Time from the request to the signal. */
const SIGNAL_AFTER_MS = 300;
const GRACE_MS = 6_000;

await runCase(async (record, directory) => {
  const store = new Store();
  const storeAddress = await store.listen();
  const route = {name: 'archivo-estudio', prefix: '/archivo/', kind: 'safe'};
  store.set(
    'op/config',
    toConfiguration(7, [{...route, service: SERVICE, timeout: '6000ms'}]),
  );
  const runs = new Set();
  const body = randomBytes(ANSWER_BYTES);
  for (let index = 0; index < WORKERS; index++) {
    const worker = new Worker({
      service: SERVICE,
      zone: 'kgn-a',
      slots: 3,
      store,
      onRun: ({attempt, worker: id, url}) => {
        runs.add(attempt);
        record.add('run', attempt, url, 'at', id);
      },
      answer: () => ({workMs: WORK_MS, body}),
    });
    await worker.start();
  }

  const broken = [];
  let isAnyWhole = false;
  for (let round = 1; round <= ROUNDS; round++) {
    const entry = new Entry({
      name: `front-kgn-a-${round}`,
      zone: 'kgn-a',
      store: storeAddress,
      directory,
    });
    await entry.start();
    await sleep(1_000);
    let freeAtMs = 0;
    const sentAtMs = performance.now();
    const sending = sendAttempt({
      port: entry.port,
      method: 'GET',
      path: `/archivo/${round}`,
      deadlineMs: DEADLINE_MS,
      record,
      pace: async bytes => {
        const nowMs = performance.now();
        freeAtMs = Math.max(freeAtMs, nowMs) + bytes / LINK_BYTES_PER_MS;
        await sleep(freeAtMs - nowMs);
      },
    });
    await sleep(SIGNAL_AFTER_MS);
    const signalledAtMs = performance.now();
    if (isTroubled) {
      record.add('SIGTERM', entry.name);
      entry.signal('SIGTERM');
    }
    const answer = await sending;
    const sinceSignalMs = Math.round(performance.now() - signalledAtMs);
    const tookMs = Math.round(performance.now() - sentAtMs);
    isAnyWhole ||= answer.isWhole;
    const isExcused = tookMs >= DEADLINE_MS || sinceSignalMs > GRACE_MS;
    if (!answer.isWhole && runs.has(answer.attempt) && !isExcused) {
      broken.push(
        `${answer.attempt}: ${answer.bytes} bytes of the answer, then the connection ended, ${sinceSignalMs} ms after the signal`,
      );
    }
    if (isTroubled) {
      await entry.ended();
      record.add('process ended');
    } else {
      entry.signal('SIGKILL');
    }
  }
  if (!isTroubled && !isAnyWhole) {
    throw new Error('no answer came');
  }
  return broken;
});
