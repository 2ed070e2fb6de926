/** A stopping entry takes requests for half of `grace`, and cuts off those that are at work when it ends. */

import {setTimeout as sleep} from 'node:timers/promises';
import {Client, toLine} from '../lib/client.mjs';
import {HAS_TROUBLE, runCase, Site} from '../lib/site.mjs';

const site = new Site({grace: '10s'});
const REQUESTS = 8;
const SENT_AFTER_MS = 4_000;
const WORK_MS = 6_500;
const PAUSE_MS = 30;
const DEADLINE_MS = 18_000;

await runCase(import.meta.url, site, async recorder => {
  await site.start({
    entries: 2,
    workers: ['w-1', 'w-2', 'w-3', 'w-4'].map(id => ({
      id,
      service: 'first',
      zone: 'home-a',
    })),
    routes: {order: {kind: 'unsafe', service: 'first'}},
  });
  const [entry] = site.entries;
  const clients = Array.from({length: REQUESTS}, () => new Client(entry));
  await Promise.all(clients.map(client => client.send('/order/warm-up')));
  if (HAS_TROUBLE) {
    recorder.write(`SIGTERM to ${entry.name}`);
    entry.child.kill('SIGTERM');
  }
  await sleep(SENT_AFTER_MS);
  recorder.write(`${REQUESTS} requests are sent`);
  const options = {method: 'POST', body: 'one cheese', deadlineMs: DEADLINE_MS};
  const sending = [];
  for (const client of clients) {
    sending.push(client.send(`/order/?work=${WORK_MS}`, options));
    await sleep(PAUSE_MS);
  }
  const calls = await Promise.all(sending);
  calls.forEach(call => recorder.write(toLine(call)));
  const arrivals = site.arrivals.filter(({method}) => method === 'POST');
  for (const {id, worker, hasRun, isDropped} of arrivals) {
    recorder.write(
      `${id} reached ${worker}: run ${hasRun}, cut off ${isDropped}`,
    );
  }
  const lost = calls.filter(
    ({id, status}) =>
      status !== 200 &&
      arrivals.some(({id: reached, hasRun}) => reached === id && hasRun),
  );
  recorder.write(`${lost.length} of ${REQUESTS} were broken off at work`);
  return lost.length > 0;
});
