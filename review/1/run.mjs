/** The store comes back from a copy, and an entry misses the configuration that is written next. */

import {setTimeout as sleep} from 'node:timers/promises';
import {Client, toLine} from '../lib/client.mjs';
import {configuration, HAS_TROUBLE, runCase, Site} from '../lib/site.mjs';

const site = new Site();

/** How old the copy is, and how long the store is away. */
const COPY_AGE_MS = 3_000;
const AWAY_MS = 500;

/** Time between what is written again. */
const WRITE_PAUSE_MS = 20;

/** Time from the new configuration to the first request that is judged: `stable_window` and `config_apply`, and some. */
const JUDGED_AFTER_MS = 6_000;
const JUDGED_REQUESTS = 20;

const moving = service => ({
  moving: {kind: 'unsafe', service},
  other: {kind: 'safe', service: 'first'},
});

await runCase(import.meta.url, site, async recorder => {
  const {store} = site;
  await site.start({
    entries: 4,
    workers: [
      {id: 'w-1', service: 'first', zone: 'home-a'},
      {id: 'w-2', service: 'first', zone: 'home-b'},
      {id: 'w-3', service: 'second', zone: 'home-a'},
      {id: 'w-4', service: 'second', zone: 'home-b'},
    ],
    routes: moving('first'),
  });
  const copy = store.copy();
  recorder.write(`revision ${store.revision}; a copy is taken`);
  const joined = [];
  for (const id of ['w-5', 'w-6']) {
    joined.push(await site.addWorker({id, service: 'first', zone: 'home-a'}));
  }
  recorder.write(`revision ${store.revision}; two workers have joined`);
  await sleep(COPY_AGE_MS);
  if (HAS_TROUBLE) {
    await store.leave();
    recorder.write('the store is away');
    await sleep(AWAY_MS);
    await store.comeBackFrom(copy);
    recorder.write(`the store is back at revision ${store.revision}`);
  }
  store.set('op/config', configuration(2, moving('second')));
  const acknowledgedAtMs = Date.now();
  recorder.write(
    `revision ${store.revision}: version 2 sends /moving/ to second`,
  );
  if (HAS_TROUBLE) {
    for (const worker of joined) {
      await sleep(WRITE_PAUSE_MS);
      store.set(`servers/${worker.id}`, worker.toRecord());
      recorder.write(`revision ${store.revision}: ${worker.id} again`);
    }
  }
  await sleep(acknowledgedAtMs + JUDGED_AFTER_MS - Date.now());
  const clients = site.entries.map(entry => new Client(entry));
  let stale = 0;
  for (let index = 0; index < JUDGED_REQUESTS; index++) {
    for (const client of clients) {
      const body = 'one cheese';
      const call = await client.send('/moving/', {method: 'POST', body});
      const run = site.arrivals.find(
        ({id, hasRun}) => id === call.id && hasRun,
      );
      recorder.write(`${toLine(call)}, run by ${run?.service}`);
      stale += Number(run?.service === 'first');
    }
  }
  const all = JUDGED_REQUESTS * clients.length;
  recorder.write(`${stale} of ${all} run by the old service`);
  return stale > 0;
});
