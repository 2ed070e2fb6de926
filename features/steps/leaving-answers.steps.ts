/** Steps for upstreams that say in their answers that they leave. */

import {setTimeout as sleep} from 'node:timers/promises';
import {When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';

interface LeavingWorld {
  balancerSite: BalancerSite;
}

/** Time for the entries to read a change of the store, in milliseconds. */
const READ_MS = 400;

When(
  'worker {string} says in its answers that it leaves',
  function (this: LeavingWorld, id: string) {
    this.balancerSite.findWorker(id).isLeaving = true;
  },
);

When(
  'worker {string} is announced once more',
  async function (this: LeavingWorld, id: string) {
    const site = this.balancerSite;
    site.announce(site.findWorker(id), {});
    await sleep(READ_MS);
  },
);

When(
  'worker {string} vanishes from the store and is announced again',
  async function (this: LeavingWorld, id: string) {
    const site = this.balancerSite;
    site.store.set(`servers/${id}`, undefined);
    await sleep(READ_MS);
    site.announce(site.findWorker(id), {});
    await sleep(READ_MS);
  },
);

When(
  'worker {string} starts anew and no longer leaves',
  async function (this: LeavingWorld, id: string) {
    const site = this.balancerSite;
    const worker = site.findWorker(id);
    worker.isLeaving = false;
    site.announce(worker, {}, 2);
    await sleep(READ_MS);
  },
);
