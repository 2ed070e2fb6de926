/** Steps for departures that entries tell each other. */

import {setTimeout as sleep} from 'node:timers/promises';
import {When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';

interface ToldWorld {
  balancerSite: BalancerSite;
}

/** Time for the entries to read a change of the store, in milliseconds: longer than the pause after another change. */
const READ_MS = 900;

When(
  'worker {string} drains and vanishes from the store',
  async function (this: ToldWorld, id: string) {
    const site = this.balancerSite;
    site.announce(site.findWorker(id), {state: 'draining'});
    await sleep(READ_MS);
    site.store.set(`servers/${id}`, undefined);
    await sleep(READ_MS);
  },
);

When(
  'an older announcement of worker {string} is written',
  async function (this: ToldWorld, id: string) {
    const site = this.balancerSite;
    site.announce(site.findWorker(id), {seq: 0});
    await sleep(READ_MS);
  },
);

When(
  'worker {string} vanishes and an older announcement of it is written at once',
  async function (this: ToldWorld, id: string) {
    const site = this.balancerSite;
    site.store.set(`servers/${id}`, undefined);
    site.announce(site.findWorker(id), {seq: 0});
    await sleep(READ_MS);
  },
);
