/** Steps for an entry that polls the store before it follows another one. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  FeedServer,
  FollowerRecordStore,
  StoreWatcher,
} from '@wasabidyke/balancer';
import {SeededRandom} from '@wasabidyke/policy';
import {SystemClock} from '@wasabidyke/shared';
import {findFreePorts} from '@wasabidyke/stand-ins';
import {Believer} from '../support/believer.js';
import {eventually} from '../support/eventually.js';
import {MemoryLog} from '../support/memory-log.js';
import {MemoryRecordStore} from '../support/memory-record-store.js';

interface PolledWorld {
  pollingStore: MemoryRecordStore;
  polling: Believer;
  pollingRecords: FollowerRecordStore;
  pollingWatcher: StoreWatcher;
  /** Where the entry may read records instead of the store. */
  pollingFeeders: string[];
  behindFeed: FeedServer | undefined;
  behindAddress: string;
}

const KEY = 'servers/w1';
const SEED = 5;

After(async function (this: PolledWorld) {
  this.pollingWatcher?.stop();
  this.behindFeed?.close();
  await this.pollingRecords?.close();
});

Given(
  'a starting entry that polls a store of records',
  async function (this: PolledWorld) {
    this.pollingStore = new MemoryRecordStore();
    this.pollingStore.namesRevisions = true;
    this.pollingStore.set(KEY, 'first');
    this.polling = new Believer(KEY);
    this.pollingFeeders = [];
    const clock = new SystemClock();
    this.pollingRecords = new FollowerRecordStore({
      store: this.pollingStore,
      feeders: () => this.pollingFeeders.map(toFeeder),
      onDepartures: () => {},
      isFeeding: () => false,
      isNoEntryAnnounced: () => this.pollingFeeders.length === 0,
      clock,
      random: new SeededRandom(SEED),
      log: new MemoryLog(),
    });
    this.pollingWatcher = new StoreWatcher({
      store: this.pollingRecords,
      listener: this.polling,
      clock,
    });
    this.pollingWatcher.start();
    await eventually('it has read', () => this.polling.value === 'first');
  },
);

Given(
  'a feeder whose records are newer than the first read of that entry',
  async function (this: PolledWorld) {
    this.pollingStore.set('servers/w2', 'newer');
    const feeder = new Believer(KEY);
    feeder.onRead((await this.pollingStore.readAll()).unwrap(), true);
    const [port] = await findFreePorts(1);
    this.behindFeed = new FeedServer({
      history: feeder.history,
      ageMs: () => 0,
      onSuspect: () => {},
      onFault: error => {
        throw error;
      },
    });
    await this.behindFeed.listen({host: '127.0.0.1', port});
    this.behindAddress = `127.0.0.1:${port}`;
  },
);

When(
  'a record changes, and the entry polls it',
  async function (this: PolledWorld) {
    this.pollingStore.set(KEY, 'changed');
    await eventually('it is polled', () => this.polling.value === 'changed');
  },
);

When('the entry follows the feeder', function (this: PolledWorld) {
  this.pollingFeeders.push(this.behindAddress);
});

Then(
  'it still knows of the change after {int} ms',
  async function (this: PolledWorld, milliseconds: number) {
    await sleep(milliseconds);
    assert.equal(this.polling.value, 'changed');
    const kept = this.polling.history.read(KEY)?.toString('utf8');
    assert.equal(kept, 'changed');
  },
);

function toFeeder(feedAddress: string) {
  const place = {address: '127.0.0.1:1', region: 'home', zone: 'home-a'};
  return {...place, name: 'feeder', feedAddress};
}
