/** Steps for upstreams that name how many requests they take. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BalancerSite, CallerAnswer} from '../support/balancer-site.js';
import type {WorkerScript} from '../support/scripted-worker.js';

interface LimitWorld {
  balancerSite: BalancerSite;
  answers: CallerAnswer[];
}

/** Time between look-ups at each entry, in milliseconds. */
const LOOK_UP_INTERVAL_MS = 50;

Given(
  'worker {string} names the limit {string}',
  function (this: LimitWorld, id: string, limit: string) {
    this.balancerSite.findWorker(id).limit = limit;
  },
);

Given(
  'worker {string} {string}',
  function (this: LimitWorld, id: string, script: WorkerScript) {
    this.balancerSite.findWorker(id).script = script;
  },
);

When(
  'worker {string} names no limit any more',
  function (this: LimitWorld, id: string) {
    this.balancerSite.findWorker(id).limit = undefined;
  },
);

When(
  'look-ups are sent to all entries for {int} ms',
  async function (this: LimitWorld, forMs: number) {
    const {balancerSite} = this;
    for (const worker of balancerSite.workers) {
      worker.requests.length = 0;
      worker.loadQueries = 0;
    }
    const calls: Array<Promise<CallerAnswer>> = [];
    const endMs = performance.now() + forMs;
    while (performance.now() < endMs) {
      for (let entry = 0; entry < balancerSite.entries; entry++) {
        calls.push(balancerSite.call({path: '/read/a', entry}));
      }
      await sleep(LOOK_UP_INTERVAL_MS);
    }
    this.answers = await Promise.all(calls);
  },
);

Then(
  'worker {string} got at most {int} of them',
  function (this: LimitWorld, id: string, limit: number) {
    const {length} = this.balancerSite.findWorker(id).requests;
    assert.ok(length <= limit, `${id} got ${length}`);
  },
);

Then(
  'worker {string} got at least {int} of them',
  function (this: LimitWorld, id: string, limit: number) {
    const {length} = this.balancerSite.findWorker(id).requests;
    assert.ok(length >= limit, `${id} got ${length}`);
  },
);

Then('all of them were answered', function (this: LimitWorld) {
  const failed = this.answers.filter(({status}) => status !== 200);
  assert.equal(failed.length, 0);
});

Then(
  'the others were refused as not run within {int} ms, with when to come back',
  function (this: LimitWorld, limitMs: number) {
    const refused = findRefused(this.answers);
    assert.ok(refused.length > 0);
    for (const {status, tookMs, headers} of refused) {
      assert.equal(status, 503);
      assert.ok(tookMs < limitMs, `${tookMs} ms`);
      assert.ok(Number(headers['retry-after']) > 0);
    }
  },
);

Then(
  'the times to come back are spread over more than {int} ms',
  function (this: LimitWorld, spreadMs: number) {
    const timesMs = findRefused(this.answers).map(
      ({headers}) => Number(headers['retry-after']) * 1_000,
    );
    assert.ok(Math.max(...timesMs) - Math.min(...timesMs) > spreadMs);
  },
);

Then(
  'the times to come back are under {int} ms',
  function (this: LimitWorld, limitMs: number) {
    const timesMs = findRefused(this.answers).map(
      ({headers}) => Number(headers['retry-after']) * 1_000,
    );
    assert.ok(Math.max(...timesMs) < limitMs, `${Math.max(...timesMs)} ms`);
  },
);

function findRefused(answers: readonly CallerAnswer[]): CallerAnswer[] {
  return answers.filter(({status}) => status !== 200);
}
