/** Steps for requests whose workers end at some time in their life, or leave as planned. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import type {ScriptedWorker} from '../support/scripted-worker.js';
import {
  habitOf,
  type CallerHabit,
  type WorkerEnding,
} from '../support/worker-ending.js';

/** Time in which all entries know that a worker leaves, in milliseconds: less than the time-out of a route. */
const KNOWN_MS = 700;

interface EndedWorkersWorld {
  balancerSite: BalancerSite;
  habit: CallerHabit | undefined;
}

Given(
  'workers that are back as other ones after they ended',
  function (this: EndedWorkersWorld) {
    this.balancerSite.keepsIds = false;
  },
);

Given(
  'workers that are back under their ids after they ended',
  function (this: EndedWorkersWorld) {
    this.balancerSite.keepsIds = true;
  },
);

Given(
  'requests that end their workers {string}',
  function (this: EndedWorkersWorld, ending: WorkerEnding) {
    for (const worker of this.balancerSite.workers) {
      worker.ending = ending;
    }
    const habit = habitOf(ending);
    this.habit = Object.keys(habit).length > 0 ? habit : undefined;
  },
);

Given(
  'its callers leave after {int} ms',
  function (this: EndedWorkersWorld, leavesAfterMs: number) {
    this.habit = {leavesAfterMs};
  },
);

Given(
  '{string} is under way at {int} workers when they leave and end, one after the other',
  async function (this: EndedWorkersWorld, line: string, count: number) {
    const {balancerSite} = this;
    const [method, path] = line.split(' ');
    for (let left = 0; left < count; left++) {
      const before = new Map(
        balancerSite.workers.map(worker => [worker, worker.requests.length]),
      );
      const isReached = (worker: ScriptedWorker) =>
        worker.requests.length > (before.get(worker) ?? 0);
      const entry = left % balancerSite.entries;
      const call = balancerSite.call({method, path, body: 'order', entry});
      await eventually('it is at a worker', () =>
        balancerSite.workers.some(isReached),
      );
      const worker = balancerSite.workers.find(isReached);
      assert.ok(worker);
      balancerSite.announce(worker, {state: 'draining'});
      await sleep(KNOWN_MS);
      worker.close();
      await call;
    }
  },
);
