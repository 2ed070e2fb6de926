/** Steps for the store, embedded and behind the gateway. */

import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  EmbeddedStore,
  type Lease,
  type Store,
  type StoreError,
  type StoreValue,
  type SwapAnswer,
} from '@wasabidyke/store';
import {Err, ManualClock, type Result} from '@wasabidyke/shared';
import {eventually} from '../support/eventually.js';
import {sampleNonsense} from '../support/nonsense.js';
import {StandInProcess} from '../support/stand-in-process.js';
import {
  createClient,
  useStore,
  type StoreContext,
} from '../support/store-context.js';

const LEASE_SECONDS = 60;

const ERROR_KINDS = [
  'unreachable',
  'unknown-outcome',
  'refused',
  'malformed',
  'rate-limited',
];

interface StoreWorld extends StoreContext {
  clock: ManualClock;
  lease: Lease;
  swap: Result<SwapAnswer, StoreError>;
  reads: ReadonlyArray<Result<StoreValue | undefined, StoreError>>;
  seen: Array<string | undefined>;
  watchEnds: StoreError[];
  results: Array<Result<unknown, StoreError>>;
}

After({tags: '@store'}, async function (this: StoreWorld) {
  await Promise.all((this.stores ?? []).map(store => store.close()));
  await this.storeProcess?.stop();
});

Given('a store stand-in', async function (this: StoreWorld) {
  this.storeProcess = await StandInProcess.start('store');
  useStore(this, createClient(this));
});

Given('an embedded store', function (this: StoreWorld) {
  this.clock = new ManualClock();
  useStore(this, new EmbeddedStore(this.clock));
});

Given(
  /^the store is at fault by (\{.*\})$/,
  async function (this: StoreWorld, faults: string) {
    const content = JSON.parse(faults) as object;
    await this.storeProcess?.control('PUT', '/faults', content);
  },
);

Given(
  'the client knows an endpoint before it that nobody serves',
  async function (this: StoreWorld) {
    const gone = await StandInProcess.start('store');
    await gone.stop();
    const endpoints = [gone.origin, String(this.storeProcess?.origin)];
    useStore(this, createClient(this, {endpoints}));
  },
);

Given(
  'the client may make {int} call(s) a second',
  function (this: StoreWorld, callsPerSecond: number) {
    const clock = new ManualClock();
    useStore(this, createClient(this, {callsPerSecond, clock}));
  },
);

When(
  '{string} is swapped from version {int} to {string}',
  async function (
    this: StoreWorld,
    key: string,
    expectedVersion: number,
    value: string,
  ) {
    this.swap = await this.store.compareAndSwap({key, expectedVersion, value});
  },
);

When(
  '{string} is read {int} times at once',
  async function (this: StoreWorld, key: string, count: number) {
    const reads = Array.from({length: count}, () => this.store.read(key));
    this.reads = await Promise.all(reads);
  },
);

When('{string} is watched', async function (this: StoreWorld, key: string) {
  this.seen = [];
  this.watchEnds = [];
  await new Promise<void>(resolve => {
    this.store.watch(key, {
      onStart: resolve,
      onValue: value => this.seen.push(value?.value),
      onEnd: error => this.watchEnds.push(error),
    });
  });
});

When(
  '{string} is written under a lease',
  async function (this: StoreWorld, key: string) {
    this.lease = (await this.store.grantLease(LEASE_SECONDS)).unwrap();
    const options = {key, expectedVersion: 0, value: 'held', lease: this.lease};
    const swap = await this.store.compareAndSwap(options);
    assert.equal(swap.unwrap().isSwapped, true);
    assert.equal((await this.store.keepLeaseAlive(this.lease)).unwrap(), true);
  },
);

When('every lease lapses', async function (this: StoreWorld) {
  await this.storeProcess?.control('POST', '/lapse', {});
});

When("the lease's time has passed", function (this: StoreWorld) {
  this.clock.advance(LEASE_SECONDS * 1_000);
});

When(
  '{int} nonsense answers are given to every call with seed {int}',
  {timeout: 120_000},
  async function (this: StoreWorld, count: number, seed: number) {
    this.results = [];
    for (const fixedAnswer of sampleNonsense(count, seed)) {
      await this.storeProcess?.control('PUT', '/faults', {fixedAnswer});
      this.results.push(...(await callEverything(this.store)));
    }
  },
);

Then('the swap took effect', function (this: StoreWorld) {
  assert.equal(this.swap.unwrap().isSwapped, true);
});

Then(
  'the swap was declined and shows {string}',
  function (this: StoreWorld, value: string) {
    const {isSwapped, present} = this.swap.unwrap();
    assert.equal(isSwapped, false);
    assert.equal(present?.value, value);
  },
);

Then(
  'the swap failed as {string}',
  function (this: StoreWorld, kind: StoreError['kind']) {
    assert.equal(this.swap.unwrapErr().kind, kind);
  },
);

Then(
  'the store holds {string} at {string}',
  async function (this: StoreWorld, value: string, key: string) {
    assert.equal((await this.store.read(key)).unwrap()?.value, value);
  },
);

Then(
  'the store holds nothing at {string}',
  async function (this: StoreWorld, key: string) {
    assert.equal((await this.store.read(key)).unwrap(), undefined);
  },
);

Then(
  '{int} reads failed as {string}',
  function (this: StoreWorld, count: number, kind: string) {
    const failed = this.reads.filter(read => read.isErr());
    assert.equal(failed.length, count);
    assert.ok(failed.every(read => read.unwrapErr().kind === kind));
  },
);

Then(
  'the store received {int} call(s) of kind {string}',
  async function (this: StoreWorld, count: number, call: string) {
    const counts: unknown = JSON.parse(
      String(await this.storeProcess?.control('GET', '/counts')),
    );
    assert.equal((counts as Record<string, number>)[call], count);
  },
);

Then('the watch sees {string}', async function (this: StoreWorld, value) {
  await eventually(`"${value}"`, () => this.seen.at(-1) === value);
});

Then('the watch ends', async function (this: StoreWorld) {
  await eventually('the end', () => this.watchEnds.length > 0);
  assert.equal(this.watchEnds.length, 1);
});

Then('the lease cannot be renewed', async function (this: StoreWorld) {
  assert.equal((await this.store.keepLeaseAlive(this.lease)).unwrap(), false);
});

Then(
  'every call failed with a typed error or gave a typed answer',
  function (this: StoreWorld) {
    assert.ok(this.results.length > 0);
    for (const result of this.results.filter(each => each.isErr())) {
      const {kind, message} = result.unwrapErr();
      assert.ok(ERROR_KINDS.includes(kind), kind);
      assert.equal(typeof message, 'string');
    }
  },
);

async function callEverything(
  store: Store,
): Promise<ReadonlyArray<Result<unknown, StoreError>>> {
  const lease = {id: '1', timeToLiveSeconds: LEASE_SECONDS};
  const key = 'colour';
  return Promise.all([
    store.read(key),
    store.compareAndSwap({key, expectedVersion: 0, value: 'red'}),
    store.grantLease(LEASE_SECONDS),
    store.keepLeaseAlive(lease),
    store.revokeLease(lease),
    watchToItsEnd(store, key),
  ]);
}

function watchToItsEnd(
  store: Store,
  key: string,
): Promise<Result<unknown, StoreError>> {
  return new Promise(resolve => {
    store.watch(key, {
      onStart: () => {},
      onValue: () => {},
      onEnd: error => resolve(Err(error)),
    });
  });
}
