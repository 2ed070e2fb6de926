/** Steps for entries that feed others with records. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  FEED_PATH,
  feedSchema,
  FollowerRecordStore,
  FeedServer,
  StoreWatcher,
  type StoreWatcherListener,
} from '@wasabidyke/balancer';
import {SeededRandom} from '@wasabidyke/policy';
import {SystemClock} from '@wasabidyke/shared';
import {findFreePorts} from '@wasabidyke/stand-ins';
import {MemoryLog} from '../support/memory-log.js';
import {Believer} from '../support/believer.js';
import {eventually} from '../support/eventually.js';
import {MemoryRecordStore} from '../support/memory-record-store.js';

const KEY = 'servers/w1';
const SEED = 5;

interface Follower {
  readonly believer: Believer;
  readonly fed: FollowerRecordStore;
  readonly view: StoreWatcher;
  readonly store: MemoryRecordStore;
  /** Addresses of those that it may follow. */
  feedAddresses: readonly string[];
}

interface FeedWorld {
  /** What the feeder reads, and what the follower reads when it must. */
  stores: {
    readonly feeder: MemoryRecordStore;
    readonly follower: MemoryRecordStore;
    readonly third: MemoryRecordStore;
  };
  feeder: Believer;
  feederView: StoreWatcher;
  isFresh: boolean;
  feed: FeedServer;
  feedAddress: string;
  silent: Server | undefined;
  follower: Follower;
  third: Follower;
  /** An entry that reads the store beside the feeder. */
  reader: Follower;
  readerAddress: string;
  /** Feeds of the followers. */
  further: FeedServer[];
  changed: string;
  revisionBefore: number;
}

/** Longer than the long poll of a follower at its feeder. */
const FEED_ROUND_MS = 800;

Given('a store with a record', function (this: FeedWorld) {
  this.stores = {
    feeder: new MemoryRecordStore(),
    follower: new MemoryRecordStore(),
    third: new MemoryRecordStore(),
  };
  write(this, 'first');
});

Given(
  'entry {string} that reads the store, and another one that follows it',
  async function (this: FeedWorld, first: string) {
    this.feeder = new Believer(KEY);
    this.isFresh = true;
    this.feederView = createView(this.stores.feeder, this.feeder);
    this.feederView.start();
    this.feed = new FeedServer({
      history: this.feeder.history,
      ageMs: () => (this.isFresh ? 0 : Infinity),
      onSuspect: () => {},
      onFault: failOnFault,
    });
    const [port] = await findFreePorts(1);
    await this.feed.listen({host: '127.0.0.1', port});
    this.feedAddress = `127.0.0.1:${port}`;
    this.further = [];
    this.follower = createFollower(this.stores.follower, first, [
      this.feedAddress,
    ]);
    this.follower.view.start();
    await eventually('it follows', () => !this.follower.fed.isDirect);
    this.stores.follower.calls.clear();
  },
);

Given(
  'a third entry that follows the second',
  async function (this: FeedWorld) {
    const address = await feedFrom(this, this.follower);
    this.third = createFollower(this.stores.third, 'second', [address]);
    this.third.view.start();
    await eventually('the third follows', () => !this.third.fed.isDirect);
    this.stores.third.calls.clear();
  },
);

When(
  'the second entry follows the third instead',
  async function (this: FeedWorld) {
    this.follower.feedAddresses = [await feedFrom(this, this.third)];
    this.feed.close();
  },
);

Given(
  /^an entry that reads the store( whose watches are never answered)?$/,
  async function (this: FeedWorld, isSilent: string | null) {
    this.reader = createFollower(this.stores.third, 'none', []);
    this.reader.view.start();
    const {history} = this.reader.believer;
    await eventually('it reads', () => history.revision > 0);
    if (isSilent !== null) {
      this.stores.third.fault = 'silent-watches';
      // The watch that is open ends with this change.
      write(this, 'last seen');
    }
    this.readerAddress = await feedFrom(this, this.reader);
  },
);

Given(
  'reads of the store that may be old are {int} ms old',
  function (this: FeedWorld, staleMs: number) {
    this.stores.third.staleMs = staleMs;
  },
);

After(async function (this: Partial<FeedWorld>) {
  this.reader?.view.stop();
  await this.reader?.fed.close();
  for (const feed of this.further ?? []) {
    feed.close();
  }
  this.third?.view.stop();
  await this.third?.fed.close();
  this.feederView?.stop();
  this.follower?.view.stop();
  this.feed?.close();
  this.silent?.close();
  await this.follower?.fed.close();
});

When('the record changes', function (this: FeedWorld) {
  write(this, 'changed');
});

When('the feeder ends', function (this: FeedWorld) {
  this.feed.close();
});

When('the feeder falls silent', async function (this: FeedWorld) {
  const [host, port] = this.feedAddress.split(':');
  this.feed.close();
  this.silent = createServer(() => {});
  this.silent.listen(Number(port), host);
  await once(this.silent, 'listening');
});

When('the feeder loses the store', function (this: FeedWorld) {
  this.stores.feeder.fault = 'down';
  this.feederView.stop();
  this.isFresh = false;
});

When(
  'the record changes while the feeder starts anew',
  async function (this: FeedWorld) {
    this.feederView.stop();
    write(this, 'changed');
    const whole = (await this.stores.feeder.readAll()).unwrap();
    this.feeder.onRead(whole, true);
  },
);

When('the feeder stops reading but feeds on', function (this: FeedWorld) {
  this.feederView.stop();
});

When(
  'the follower reads the store while the record changes',
  async function (this: FeedWorld) {
    this.follower.feedAddresses = [];
    await sleep(FEED_ROUND_MS);
    write(this, 'changed');
    const {believer} = this.follower;
    const isKnown = () => believer.value === 'changed';
    await eventually('the change is known', isKnown);
    // The next watch begins after a pause.
    await sleep(FEED_ROUND_MS);
  },
);

When(
  'the store loses its history while the follower turns to the feeder',
  async function (this: FeedWorld) {
    const {follower} = this.stores;
    follower.fault = 'history-lost';
    this.follower.feedAddresses = [this.feedAddress];
    follower.set('servers/other', 'ends the watch that waits');
    await sleep(FEED_ROUND_MS);
  },
);

When(
  'the record changes {int} times in a burst',
  async function (this: FeedWorld, times: number) {
    this.revisionBefore = this.feeder.history.revision;
    for (let change = 0; change < times; change++) {
      write(this, `version ${change}`);
    }
    await eventually('the feeder knows', () => {
      return this.feeder.value === this.changed;
    });
  },
);

Then(
  'a follower from before it is sent one change',
  async function (this: FeedWorld) {
    const path = `${FEED_PATH}?after=${this.revisionBefore}&waitMs=0`;
    const answer = await fetch(`http://${this.feedAddress}${path}`);
    const {changes} = feedSchema.parse(await answer.json());
    assert.equal(changes.length, 1);
    assert.equal(
      Buffer.from(changes[0].value ?? '', 'base64').toString('utf8'),
      this.changed,
    );
  },
);

Then(
  'its follower still knows of it after {int} ms',
  async function (this: FeedWorld, milliseconds: number) {
    await sleep(milliseconds);
    assert.equal(this.follower.believer.value, this.changed);
  },
);

Then(
  'its follower tells its own followers the revision of the store',
  async function (this: FeedWorld) {
    const {revision} = (await this.stores.follower.readAll()).unwrap();
    const {history} = this.follower.believer;
    assert.equal(history.revision, revision);
    assert.equal(history.read(KEY)?.toString('utf8'), this.changed);
  },
);

Then(
  'that entry feeds nothing after {int} ms',
  async function (this: FeedWorld, milliseconds: number) {
    await sleep(milliseconds);
    const {status} = await fetch(`http://${this.readerAddress}${FEED_PATH}`);
    assert.equal(status, 503);
  },
);

Then(
  'that entry feeds the record after {int} ms',
  async function (this: FeedWorld, milliseconds: number) {
    await sleep(milliseconds);
    const answer = await fetch(`http://${this.readerAddress}${FEED_PATH}`);
    const {changes} = feedSchema.parse(await answer.json());
    const value = changes.find(({key}) => key === KEY)?.value ?? '';
    assert.equal(Buffer.from(value, 'base64').toString(), this.changed);
  },
);

Then(
  /^(its follower|the third entry) knows of it within (\d+) ms$/,
  async function (this: FeedWorld, which: string, limitMs: string) {
    const {believer} = toFollower(this, which);
    const isKnown = () => believer.value === this.changed;
    await eventually('the change is known', isKnown, Number(limitMs));
  },
);

Then(
  /^(its follower|the third entry) asked the store for no changes$/,
  function (this: FeedWorld, which: string) {
    const {calls} = toFollower(this, which).store;
    assert.equal(calls.get('watch'), undefined);
    assert.equal(calls.get('read-all'), undefined);
  },
);

function toFollower(world: FeedWorld, which: string): Follower {
  return which === 'its follower' ? world.follower : world.third;
}

/** A message that can't be answered is no part of these scenarios. */
function failOnFault(error: unknown): void {
  throw error;
}

/** Lets a follower feed others; returns its address. */
async function feedFrom(
  world: FeedWorld,
  {believer, fed}: Follower,
): Promise<string> {
  const feed = new FeedServer({
    history: believer.history,
    ageMs: () => fed.ageMs,
    onSuspect: () => {},
    onFault: failOnFault,
  });
  const [port] = await findFreePorts(1);
  await feed.listen({host: '127.0.0.1', port});
  world.further.push(feed);
  return `127.0.0.1:${port}`;
}

function write(world: FeedWorld, value: string): void {
  world.changed = value;
  world.stores.feeder.set(KEY, value);
  world.stores.follower.set(KEY, value);
  world.stores.third.set(KEY, value);
}

function createView(
  store: MemoryRecordStore | FollowerRecordStore,
  listener: StoreWatcherListener,
): StoreWatcher {
  const clock = new SystemClock();
  return new StoreWatcher({store, listener, clock});
}

function createFollower(
  store: MemoryRecordStore,
  feeder: string,
  feedAddresses: readonly string[],
): Follower {
  const place = {address: '127.0.0.1:1', region: 'home', zone: 'home-a'};
  const believer = new Believer(KEY);
  const fed = new FollowerRecordStore({
    store,
    feeders: () =>
      follower.feedAddresses.map(feedAddress => ({
        ...place,
        name: `${feeder} at ${feedAddress}`,
        feedAddress,
      })),
    onDepartures: () => {},
    isFeeding: () => true,
    isNoEntryAnnounced: () => false,
    clock: new SystemClock(),
    random: new SeededRandom(SEED),
    log: new MemoryLog(),
  });
  const view = createView(fed, believer);
  const follower: Follower = {believer, fed, view, store, feedAddresses};
  return follower;
}
