/** An entry's watch falls silent, and reads that may be old hide what it misses. */

import {setTimeout as sleep} from 'node:timers/promises';
import {Client, toLine} from '../lib/client.mjs';
import {configuration, HAS_TROUBLE, runCase, Site} from '../lib/site.mjs';

const site = new Site();

/** Age of reads that may be old. */
const STALE_MS = 3_000;
const CHANGED_AFTER_MS = 4_000;
const APPLY_MS = 2_500;
const REQUESTS = 40;

const moving = service => ({moving: {kind: 'unsafe', service}});

await runCase(import.meta.url, site, async recorder => {
  const {store} = site;
  store.staleMs = STALE_MS;
  await site.start({
    entries: 2,
    workers: [
      {id: 'w-1', service: 'first', zone: 'home-a'},
      {id: 'w-2', service: 'second', zone: 'home-a'},
    ],
    routes: moving('first'),
  });
  if (HAS_TROUBLE) {
    const count = store.silenceWaiting();
    recorder.write(`${count} connections with a waiting watch fell silent`);
  }
  await sleep(CHANGED_AFTER_MS);
  store.set('op/config', configuration(2, moving('second')));
  const acknowledgedAtMs = Date.now();
  recorder.write('version 2 sends /moving/ to second');
  const clients = site.entries.map(entry => new Client(entry));
  let stale = 0;
  for (let index = 0; index < REQUESTS; index++) {
    for (const client of clients) {
      const body = 'one cheese';
      const call = await client.send('/moving/', {method: 'POST', body});
      const run = site.arrivals.find(
        ({id, hasRun}) => id === call.id && hasRun,
      );
      const ageMs = call.sentAtMs - acknowledgedAtMs;
      recorder.write(`${ageMs} ms: ${toLine(call)}, run by ${run?.service}`);
      stale += Number(run?.service === 'first' && ageMs > APPLY_MS);
    }
    await sleep(80);
  }
  recorder.write(`${stale} run by the old service later than config_apply`);
  return stale > 0;
});
