/** A machine stands still while new connections are open on which the request has not arrived yet. */

import {setTimeout as sleep} from 'node:timers/promises';
import {sendAttempt} from '../lib3/caller.mjs';
import {isTroubled, runCase, toConfiguration} from '../lib3/case.mjs';
import {Entry, ZONE_NAMES} from '../lib3/entry.mjs';
import {Link} from '../lib3/link.mjs';
import {Store} from '../lib3/store.mjs';
import {Worker} from '../lib3/worker.mjs';

const SERVICE = 'checkout-svc';
/** One of these stands still. */
const ENTRIES = 10;
const WORKERS = 6;
const WORK_MS = 78;
/** A caller's time from its connection to its request; `header_timeout` allows 3,000 ms. */
const LONGEST_HEAD_DELAY_MS = 300;
/** One way between callers and entries. */
const LINK_DELAY_MS = 3;
const DEADLINE_MS = 5_400;
const ORDER_INTERVAL_MS = 20;
const FREEZES = 8;
const FREEZE_MS = 4_500;
const PAUSE_MS = 5_000;
const RETRIES = 2;

/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

await runCase(async (record, directory) => {
  const store = new Store();
  const storeAddress = await store.listen();
  const route = {name: 'order-place', prefix: '/orders/', kind: 'unsafe'};
  store.set(
    'op/config',
    toConfiguration(7, [{...route, service: SERVICE, timeout: '5000ms'}]),
  );
  const runs = new Map();
  for (let index = 0; index < WORKERS; index++) {
    const worker = new Worker({
      service: SERVICE,
      zone: 'kgn-a',
      slots: 4,
      store,
      onRun: ({attempt, worker: id, url}) => {
        runs.set(attempt, (runs.get(attempt) ?? 0) + 1);
        record.add('run', attempt, url, 'at', id);
      },
      answer: () => ({workMs: WORK_MS, body: Buffer.from('ordered')}),
    });
    await worker.start();
  }
  const entries = [];
  for (let index = 0; index < ENTRIES; index++) {
    const zone = ZONE_NAMES[index % ZONE_NAMES.length];
    const name = `front-${zone}-${Math.floor(index / ZONE_NAMES.length) + 1}`;
    const entry = new Entry({name, zone, store: storeAddress, directory});
    await entry.start();
    entries.push(entry);
  }
  /** Callers use the entries of their own zone. */
  const near = entries.filter(({zone}) => zone === ZONE_NAMES[0]);
  const ports = [];
  for (const {port} of near) {
    ports.push(await new Link({port, delayMs: LINK_DELAY_MS}).listen());
  }
  const [frozen] = near;

  const answers = [];
  const pending = new Set();
  let orders = 0;
  /** Places an order, and sends it again after a promise, as callers do. */
  const placeOrder = async () => {
    orders += 1;
    const path = `/orders/${orders}`;
    const endsAtMs = performance.now() + DEADLINE_MS;
    for (let tries = 0; tries <= RETRIES; tries++) {
      const leftMs = Math.floor(endsAtMs - performance.now());
      if (leftMs < 100) {
        return;
      }
      const answer = await sendAttempt({
        port: ports[Math.floor(Math.random() * ports.length)],
        method: 'POST',
        path,
        body: 'wheel of aged cheddar',
        deadlineMs: leftMs,
        headDelayMs: Math.random() * LONGEST_HEAD_DELAY_MS,
        record,
      });
      answers.push({...answer, path});
      if (!PROMISES.has(answer.status)) {
        return;
      }
    }
  };
  const timer = setInterval(() => {
    const order = placeOrder().finally(() => pending.delete(order));
    pending.add(order);
  }, ORDER_INTERVAL_MS);

  await sleep(3_000);
  for (let index = 0; index < FREEZES; index++) {
    if (isTroubled) {
      record.add('freeze');
      frozen.signal('SIGSTOP');
    }
    await sleep(FREEZE_MS);
    if (isTroubled) {
      frozen.signal('SIGCONT');
      record.add('thaw');
    }
    await sleep(PAUSE_MS);
  }
  clearInterval(timer);
  await Promise.all(pending);
  await sleep(1_000);
  entries.forEach(entry => entry.signal('SIGKILL'));

  const byStatus = new Map();
  const runsByPath = new Map();
  for (const {attempt, status, path} of answers) {
    byStatus.set(status, (byStatus.get(status) ?? 0) + 1);
    const count = (runsByPath.get(path) ?? 0) + (runs.get(attempt) ?? 0);
    runsByPath.set(path, count);
  }
  record.add('answers', JSON.stringify([...byStatus]));
  const doubled = [...runsByPath].filter(([, count]) => count > 1);
  record.add('orders that ran twice', doubled.length);
  if (!byStatus.has(200)) {
    throw new Error('no order was answered');
  }
  return answers
    .filter(({attempt, status}) => PROMISES.has(status) && runs.has(attempt))
    .map(({attempt, status, path}) => `${path} ${attempt}: ${status}, and ran`);
});
