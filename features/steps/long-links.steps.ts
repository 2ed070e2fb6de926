/** Steps for links whose round trip is long. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';

interface LongLinksWorld {
  balancerSite: BalancerSite;
  atFreeWorker: number;
}

const FULL = '4,4,4,100';
const FREE = '0,0,4,100';

/** Longer than a load report counts as new. */
const GAP_MS = 120;

When(
  '{int} look-ups are sent while {string} and {string} take turns in being full',
  async function (
    this: LongLinksWorld,
    count: number,
    first: string,
    second: string,
  ) {
    const workers = [first, second].map(id => this.balancerSite.findWorker(id));
    this.atFreeWorker = 0;
    for (let sent = 0; sent < count; sent++) {
      const free = workers[sent % 2];
      const full = workers[(sent + 1) % 2];
      free.load = FREE;
      full.load = FULL;
      const before = free.requests.length;
      await this.balancerSite.call({path: '/read/a'});
      this.atFreeWorker += free.requests.length - before;
      await sleep(GAP_MS);
    }
  },
);

Then(
  'at least {int} of them reached the free one',
  function (this: LongLinksWorld, least: number) {
    assert.ok(this.atFreeWorker >= least, `${this.atFreeWorker} of them`);
  },
);
