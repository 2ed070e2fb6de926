/** Steps for a store that comes back from an older copy. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  ENTRY_KEY_PREFIX,
  EntryAnnouncer,
  FEED_PATH,
  FollowerRecordStore,
} from '@wasabidyke/balancer';
import {PlatformStore} from '@wasabidyke/platform';
import {SeededRandom} from '@wasabidyke/policy';
import {SystemClock} from '@wasabidyke/shared';
import {StoreStandIn, type StoreCopy} from '@wasabidyke/soak';
import {MemoryLog} from '../support/memory-log.js';
import {eventually} from '../support/eventually.js';
import {ReadingEntry} from '../support/reading-entry.js';

const KEY = 'servers/w1';
const AWAY_MS = 300;
const SETTLE_MS = 700;
const FIRST = 'first';
const OTHER = 'other';
const SILENCE_GAP_MS = 3_000;
const LEASE_TIME = '10000ms';

interface EraWorld {
  eraStore: StoreStandIn;
  storeAddress: string;
  copy: StoreCopy;
  eraReader: ReadingEntry;
  readerAddress: string;
  eraFollower: ReadingEntry;
  cutOff: ReadingEntry;
  cutOffAddress: string;
  written: string;
  writes: number;
  completeReads: number;
  announcer: EntryAnnouncer;
  announcerStore: FollowerRecordStore;
  otherLease: number;
}

After(async function (this: Partial<EraWorld>) {
  for (const entry of [this.eraReader, this.eraFollower, this.cutOff]) {
    await entry?.close();
  }
  if (this.eraStore !== undefined) {
    await this.announcer?.stop(0);
    await this.announcerStore?.close();
  }
  this.eraStore?.close();
});

Given(
  'a store that names its era, with a record',
  async function (this: EraWorld) {
    this.eraStore = new StoreStandIn();
    this.storeAddress = await this.eraStore.listen();
    this.writes = 0;
    write(this);
    this.copy = this.eraStore.copy();
  },
);

Given('an entry that reads that store', async function (this: EraWorld) {
  this.eraReader = new ReadingEntry(this.storeAddress, KEY);
  this.readerAddress = await this.eraReader.start();
  await eventually(
    'it reads',
    () => this.eraReader.believer.value !== undefined,
  );
});

Given('an entry that follows that one', async function (this: EraWorld) {
  this.eraFollower = new ReadingEntry(this.storeAddress, KEY);
  this.eraFollower.feedAddresses = [this.readerAddress];
  await this.eraFollower.start();
  await eventually('it follows', () => !this.eraFollower.records.isDirect);
});

Given(
  '{int} other records are written, of which the store takes no copy',
  async function (this: EraWorld, count: number) {
    writeOthers(this, count);
    await sleep(SETTLE_MS);
  },
);

Given(
  'a feeder of a higher revision that reads nothing any more and counts as fresh',
  async function (this: EraWorld) {
    this.cutOff = new ReadingEntry(this.storeAddress, KEY);
    this.cutOffAddress = await this.cutOff.start();
    writeOthers(this, 30);
    await eventually('it has read', () => {
      return this.cutOff.believer.history.revision === this.eraStore.revision;
    });
    this.cutOff.stopReading();
    this.cutOff.toldAgeMs = 0;
  },
);

When(
  'the follower may follow that feeder, or else the entry that reads the store',
  function (this: EraWorld) {
    this.eraFollower.feedAddresses = [this.cutOffAddress, this.readerAddress];
  },
);

When(
  /^the store comes back from its copy, and the record (?:and (\d+) others are|is) written at once$/,
  async function (this: EraWorld, others: string | null) {
    this.eraStore.leave();
    await sleep(AWAY_MS);
    this.eraStore.comeBackFrom(this.copy);
    write(this);
    writeOthers(this, Number(others ?? 0));
  },
);

When('the calls of the store are counted', function (this: EraWorld) {
  this.eraStore.calls.clear();
});

When(
  /^the answers of the store name (nothing|a word|\d+) as the era$/,
  function (this: EraWorld, named: string) {
    const eras: Record<string, string | undefined> = {
      nothing: undefined,
      'a word': 'later',
    };
    this.eraStore.namedEra = named in eras ? eras[named] : named;
    this.completeReads = this.eraReader.believer.completeReads;
  },
);

When(
  'the record changes, and no copy is taken',
  async function (this: EraWorld) {
    await sleep(SETTLE_MS);
    write(this);
  },
);

Given(
  'reads of that store that may be old are {int} ms old',
  function (this: EraWorld, staleMs: number) {
    this.eraStore.staleMs = staleMs;
  },
);

When(
  'the connections on which a watch waits fall silent {int} times',
  async function (this: EraWorld, times: number) {
    await sleep(SETTLE_MS);
    for (let time = 1; time <= times; time++) {
      await eventually('a watch waits', () => {
        return this.eraStore.silenceWatches() > 0;
      });
      if (time < times) {
        await sleep(SILENCE_GAP_MS);
      }
    }
  },
);

When(
  'the record changes {int} ms later',
  async function (this: EraWorld, delayMs: number) {
    await sleep(delayMs);
    write(this);
  },
);

When('{int} ms pass, and the store is quiet', (waitMs: number) =>
  sleep(waitMs),
);

Then(
  'the store was asked at most {int} times in all',
  function (this: EraWorld, times: number) {
    const calls = [...this.eraStore.calls];
    const count = calls.reduce((sum, [, made]) => sum + made, 0);
    assert.ok(count <= times, `${count}: ${JSON.stringify(calls)}`);
  },
);

Then(
  'both entries know of it within {int} ms',
  async function (this: EraWorld, limitMs: number) {
    const {eraReader, eraFollower} = this;
    const isKnown = () =>
      [eraReader, eraFollower].every(
        ({believer}) => believer.value === JSON.stringify(this.written),
      );
    await eventually('both know of it', isKnown, limitMs);
  },
);

Then(
  'the follower still knows of it after {int} ms',
  async function (this: EraWorld, waitMs: number) {
    await sleep(waitMs);
    const {value} = this.eraFollower.believer;
    assert.equal(value, JSON.stringify(this.written));
  },
);

Then(
  'the store was read as a whole {int} times',
  function (this: EraWorld, times: number) {
    assert.equal(this.eraStore.completeReads, times);
  },
);

Then(
  'the reader has read all records at most {int} times',
  function (this: EraWorld, times: number) {
    const {completeReads} = this.eraReader.believer;
    assert.ok(completeReads - this.completeReads <= times);
  },
);

Then('the reader has logged one odd era', function (this: EraWorld) {
  const odd = this.eraReader.log.events.filter(
    ({event}) => event === 'store.era-odd',
  );
  assert.equal(odd.length, 1);
});

Then(
  'a follower that names no era is turned away',
  async function (this: EraWorld) {
    for (const query of ['', '?after=1&waitMs=0']) {
      const {status} = await fetchFeed(this, query);
      assert.equal(status, 503);
    }
  },
);

Then(
  'a follower of era 0 is told the era and no changes',
  async function (this: EraWorld) {
    const answer = await fetchFeed(this, '?after=0&waitMs=0&era=0');
    const {era, changes} = (await answer.json()) as {
      era: number;
      changes: unknown[];
    };
    assert.equal(era, Number(this.eraStore.namedEra));
    assert.deepEqual(changes, []);
  },
);

Given(
  'an announced entry whose lease the store takes no copy of',
  async function (this: EraWorld) {
    const clock = new SystemClock();
    const random = new SeededRandom(1);
    const log = new MemoryLog();
    this.announcerStore = new FollowerRecordStore({
      store: new PlatformStore(this.storeAddress),
      feeders: () => [],
      onDepartures: () => {},
      isFeeding: () => false,
      isNoEntryAnnounced: () => false,
      clock,
      random,
      log,
    });
    this.announcer = new EntryAnnouncer({
      store: this.announcerStore,
      record: () => toEntryRecord(FIRST),
      clock,
      random,
      log,
    });
    void this.announcer.run();
    await eventually('it is announced', () => isAnnounced(this, FIRST));
  },
);

When(
  'the store comes back from its copy, and another entry gets that lease',
  async function (this: EraWorld) {
    const known = this.eraStore.leaseOf(`${ENTRY_KEY_PREFIX}${FIRST}`);
    this.eraStore.leave();
    await sleep(AWAY_MS);
    this.eraStore.comeBackFrom(this.copy);
    this.otherLease = await announceOther(this);
    assert.equal(this.otherLease, known);
    this.eraStore.calls.clear();
  },
);

Then(
  "that entry's lease was neither renewed nor ended after {int} ms, and the first one is announced again",
  async function (this: EraWorld, waitMs: number) {
    await sleep(waitMs);
    assert.deepEqual(
      this.eraStore.leaseUses.get(this.otherLease) ?? [],
      [],
      'the lease of the other entry was used',
    );
    assert.ok(isAnnounced(this, FIRST));
    assert.ok(isAnnounced(this, OTHER));
  },
);

When(/^the first entry ends(?: at once)?$/, async function (this: EraWorld) {
  await this.announcer.stop(1_000);
});

Then(
  'its announcement is gone, and that of the other entry is not',
  function (this: EraWorld) {
    assert.ok(!isAnnounced(this, FIRST));
    assert.ok(isAnnounced(this, OTHER));
  },
);

Then(
  'the announcement of the other entry is still there',
  function (this: EraWorld) {
    assert.ok(isAnnounced(this, OTHER));
  },
);

function isAnnounced({eraStore}: EraWorld, name: string): boolean {
  return eraStore.read(`${ENTRY_KEY_PREFIX}${name}`) !== undefined;
}

function toEntryRecord(name: string) {
  const address = '127.0.0.1:1';
  return {name, address, region: 'home', zone: 'home-a', tellsEra: true};
}

/** Announces another entry; returns its lease. */
async function announceOther({storeAddress}: EraWorld): Promise<number> {
  const {lease} = (await post(storeAddress, '/-/kv-lease', {
    ttl_time: LEASE_TIME,
  })) as {lease: number};
  const value = Buffer.from(JSON.stringify(toEntryRecord(OTHER)));
  const key = `${ENTRY_KEY_PREFIX}${OTHER}`;
  const writes = [{key, value: value.toString('base64'), lease}];
  await post(storeAddress, '/-/kv-txn', {writes});
  return lease;
}

async function post(
  address: string,
  path: string,
  body: object,
): Promise<unknown> {
  const answer = await fetch(`http://${address}${path}`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  assert.equal(answer.status, 200);
  return answer.json();
}

function fetchFeed(
  {readerAddress}: EraWorld,
  query: string,
): Promise<Response> {
  return fetch(`http://${readerAddress}${FEED_PATH}${query}`);
}

function write(world: EraWorld): void {
  world.writes += 1;
  world.written = `write ${world.writes}`;
  world.eraStore.set(KEY, JSON.stringify(world.written));
}

function writeOthers(world: EraWorld, count: number): void {
  for (let index = 0; index < count; index++) {
    world.eraStore.set(`servers/other-${index}`, `write ${world.writes}`);
  }
}
