/** Steps for numbered slots. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  EmbeddedStore,
  NumberedLease,
  type Lease,
  type StoreError,
} from '@wasabidyke/store';
import {ManualClock, MetricRegistry, type Result} from '@wasabidyke/shared';
import {
  RecordingReporter,
  useStore,
  type StoreContext,
} from '../support/store-context.js';

const NAME = 'slots';
const SECOND_MS = 1_000;

interface LeaseWorld extends StoreContext {
  clock: ManualClock;
  timeToLiveSeconds: number;
  marginMs: number;
  count: number;
  settleMs?: number;
  holders: Map<string, NumberedLease>;
}

/** An embedded store whose next renewal takes a while after it took effect. */
class SlowRenewalStore extends EmbeddedStore {
  renewalMs = 0;
  readonly #clock: ManualClock;

  constructor(clock: ManualClock) {
    super(clock);
    this.#clock = clock;
  }

  override async keepLeaseAlive(
    lease: Lease,
  ): Promise<Result<boolean, StoreError>> {
    const renewed = await super.keepLeaseAlive(lease);
    this.#clock.advance(this.renewalMs);
    return renewed;
  }
}

function setLeases(world: LeaseWorld, seconds: number, margin: number): void {
  world.clock ??= new ManualClock();
  world.timeToLiveSeconds = seconds;
  world.marginMs = margin * SECOND_MS;
  world.holders = new Map();
}

function addHolder(world: LeaseWorld, name: string): void {
  const lease = new NumberedLease({
    store: world.store,
    clock: world.clock,
    name: NAME,
    holder: name,
    timeToLiveSeconds: world.timeToLiveSeconds,
    marginMs: world.marginMs,
    stepMs: SECOND_MS,
    settleMs: world.settleMs ?? 0,
    metrics: new MetricRegistry(),
    reporter: new RecordingReporter(),
  });
  lease.setCount({count: world.count, isSettled: true});
  world.holders.set(name, lease);
}

function findHolder(world: LeaseWorld, name: string): NumberedLease {
  const holder = world.holders.get(name);
  assert.ok(holder);
  return holder;
}

function listHeld(world: LeaseWorld): readonly NumberedLease[] {
  const nowMs = world.clock.now();
  const holders = [...world.holders.values()];
  return holders.filter(holder => holder.heldNumber(nowMs) !== undefined);
}

Given(
  'an embedded store with leases of {int} s and a margin of {int} s',
  function (this: LeaseWorld, seconds: number, margin: number) {
    setLeases(this, seconds, margin);
    useStore(this, new SlowRenewalStore(this.clock));
  },
);

Given(
  'leases of {int} s with a margin of {int} s',
  function (this: LeaseWorld, seconds: number, margin: number) {
    setLeases(this, seconds, margin);
  },
);

Given(
  /^holders "(.)" (?:and|to) "(.)" for (\d+) slots?$/,
  function (this: LeaseWorld, first: string, last: string, count: string) {
    this.count = Number(count);
    for (let code = first.charCodeAt(0); code <= last.charCodeAt(0); code++) {
      addHolder(this, String.fromCharCode(code));
    }
  },
);

When('{string} steps', async function (this: LeaseWorld, name: string) {
  await findHolder(this, name).step();
});

When('everyone steps', async function (this: LeaseWorld) {
  const holders = [...this.holders.values()];
  await Promise.all(holders.map(holder => holder.step()));
});

When(/^([\d.]+) s pass(?:es)?$/, function (this: LeaseWorld, seconds: string) {
  this.clock.advance(Number(seconds) * SECOND_MS);
});

When(
  'a renewal of {string} takes {int} s',
  async function (this: LeaseWorld, name: string, seconds: number) {
    assert.ok(this.store instanceof SlowRenewalStore);
    this.store.renewalMs = seconds * SECOND_MS;
    await findHolder(this, name).step();
  },
);

When(
  /^the slots are (?:cut|raised) to (\d+) for everyone$/,
  function (this: LeaseWorld, count: string) {
    for (const holder of this.holders.values()) {
      holder.setCount({count: Number(count), isSettled: false});
    }
  },
);

When(
  'the rise to {int} is settled for everyone',
  function (this: LeaseWorld, count: number) {
    for (const holder of this.holders.values()) {
      holder.setCount({count, isSettled: true});
    }
  },
);

Given(
  'a count of slots settles in {int} s',
  function (this: LeaseWorld, seconds: number) {
    this.settleMs = seconds * SECOND_MS;
  },
);

Then(
  'one slot is a share of {int}',
  function (this: LeaseWorld, shares: number) {
    const nowMs = this.clock.now();
    for (const holder of listHeld(this)) {
      assert.equal(holder.held(nowMs)?.shares, shares);
    }
  },
);

When('one holder gives its slot back', async function (this: LeaseWorld) {
  const [first] = listHeld(this);
  await first.release();
  assert.equal(first.heldNumber(this.clock.now()), undefined);
});

Then(
  '{string} holds slot {int} in its term {int}',
  function (this: LeaseWorld, name: string, number: number, term: number) {
    const held = findHolder(this, name).held(this.clock.now());
    assert.deepEqual(held, {number, term, shares: this.count});
  },
);

Then('{string} holds a slot', function (this: LeaseWorld, name: string) {
  assert.ok(findHolder(this, name).held(this.clock.now()));
});

Then('{string} holds no slot', function (this: LeaseWorld, name: string) {
  assert.equal(findHolder(this, name).held(this.clock.now()), undefined);
});

Then(
  /^(\d+) of the holders holds? a slot$/,
  function (this: LeaseWorld, count: string) {
    const nowMs = this.clock.now();
    const numbers = listHeld(this).map(holder => holder.heldNumber(nowMs));
    assert.equal(numbers.length, Number(count));
    assert.equal(new Set(numbers).size, numbers.length);
  },
);

Then(
  'the slots in the store are {string}',
  async function (this: LeaseWorld, expected: string) {
    const holders: string[] = [];
    for (let number = 0; number < this.count; number++) {
      const read = (await this.store.read(`${NAME}/${number}`)).unwrap();
      holders.push(...(read === undefined ? [] : [read.value.split(' ')[0]]));
    }
    assert.equal(holders.join(', '), expected);
  },
);
