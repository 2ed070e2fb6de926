/** Steps for numbered slots over whole schedules and between real processes. */

import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {eventually} from '../support/eventually.js';
import {SlotProcess} from '../support/slot-process.js';
import {
  runSlotSchedule,
  sampleSlotSchedules,
} from '../support/slot-schedule.js';
import type {StoreContext} from '../support/store-context.js';

/** Sums of shares are sums of fractions. */
const ROUNDING = 1e-9;

interface SlotWorld extends StoreContext {
  largestSums: number[];
  processes?: Map<string, SlotProcess>;
}

After({tags: '@store'}, async function (this: SlotWorld) {
  const processes = [...(this.processes?.values() ?? [])];
  await Promise.all(processes.map(each => each.stop()));
});

When(
  '{int} schedules of counts, steps and pauses are run with seed {int}',
  {timeout: 120_000},
  async function (this: SlotWorld, count: number, seed: number) {
    this.largestSums = [];
    for (const schedule of sampleSlotSchedules(count, seed)) {
      this.largestSums.push(await runSlotSchedule(schedule));
    }
  },
);

Then(
  'in none of them do the shares exceed the whole, and in most they reach half of it',
  function (this: SlotWorld) {
    const reached = this.largestSums.filter(sum => sum >= 0.5);
    assert.ok(Math.max(...this.largestSums) <= 1 + ROUNDING);
    assert.ok(reached.length > this.largestSums.length / 2);
  },
);

Given(
  'processes {string} and {string} for {int} slot(s) with leases of {int} s',
  {timeout: 60_000},
  async function (this: SlotWorld, first, second, count, seconds) {
    this.processes = new Map();
    for (const name of [String(first), String(second)]) {
      const origin = String(this.storeProcess?.origin);
      const options = [origin, name, String(count), String(seconds)];
      this.processes.set(name, new SlotProcess(name, options));
      await eventually('a first holder', () => hasHolder(this));
    }
  },
);

When('process {string} is frozen', function (this: SlotWorld, name: string) {
  findProcess(this, name).signal('SIGSTOP');
});

When('process {string} is resumed', function (this: SlotWorld, name: string) {
  findProcess(this, name).signal('SIGCONT');
});

Then(
  'process {string} holds the slot',
  {timeout: 60_000},
  async function (this: SlotWorld, name: string) {
    const holder = findProcess(this, name);
    await eventually(`slot of ${name}`, () => holder.number === 0);
  },
);

When(
  'process {string} gives {int} further readings',
  {timeout: 60_000},
  async function (this: SlotWorld, name: string, count: number) {
    await findProcess(this, name).read(count);
  },
);

Then('at no time did both hold the slot', function (this: SlotWorld) {
  const processes = [...(this.processes?.values() ?? [])];
  const spans = processes.flatMap(each => each.spans);
  assert.equal(new Set(spans.map(({holder}) => holder)).size, 2);
  const sorted = spans.toSorted((one, other) => one.firstMs - other.firstMs);
  for (const [index, span] of sorted.slice(1).entries()) {
    const before = sorted[index];
    assert.ok(before.lastMs < span.firstMs, JSON.stringify([before, span]));
  }
});

function findProcess(world: SlotWorld, name: string): SlotProcess {
  const found = world.processes?.get(name);
  assert.ok(found);
  return found;
}

function hasHolder(world: SlotWorld): boolean {
  const processes = [...(world.processes?.values() ?? [])];
  return processes.some(each => each.number !== undefined);
}
