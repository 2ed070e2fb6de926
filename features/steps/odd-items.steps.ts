/** Steps for items of the platform's store that nobody should send. */

import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {UNNAMED_ERA, type RecordChanges} from '@wasabidyke/balancer';
import {PlatformDecoder, PlatformStore} from '@wasabidyke/platform';
import {RawServer} from '../support/raw-server.js';

interface OddItemsWorld {
  rawStore: RawServer;
  platformStore: PlatformStore;
  read: RecordChanges;
}

const ODD_KEY = 'servers/odd';
const START = {era: UNNAMED_ERA, revision: 0};

/** Odd items, by what is odd in them. */
const ODD_ITEMS: Readonly<Record<string, unknown>> = {
  'no base64 value': {key: ODD_KEY, value: '*', revision: 2},
  'a number as value': {key: ODD_KEY, value: 7, revision: 2},
  'no revision': {key: ODD_KEY, value: 'e30='},
  'a revision of 1e308': {key: ODD_KEY, value: 'e30=', revision: 1e308},
  'a list as tombstone': {
    key: ODD_KEY,
    value: 'e30=',
    revision: 2,
    tombstone: [],
  },
  'no key': {value: 'e30=', revision: 2},
  'nothing but null': null,
};

Given(
  /^a store whose answers to (.+) have an item with (.+) between two sound ones$/,
  async function (this: OddItemsWorld, answer: string, oddity: string) {
    const sound = (key: string) => ({key, value: 'e30=', revision: 1});
    const items = [sound('servers/a'), ODD_ITEMS[oddity], sound('servers/b')];
    const list = answer === 'watch' ? {events: items} : {items};
    const body = JSON.stringify({...list, current_rev: 3});
    const head = `HTTP/1.1 200 OK\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n`;
    this.rawStore = await RawServer.listen([Buffer.from(head + body)]);
    const {host} = new URL(this.rawStore.origin);
    this.platformStore = new PlatformStore(host);
  },
);

After(async function (this: Partial<OddItemsWorld>) {
  await this.platformStore?.close();
  this.rawStore?.close();
});

When(
  /^the records are read by (complete read|watch)$/,
  async function (this: OddItemsWorld, answer: string) {
    const {signal} = new AbortController();
    const read =
      answer === 'watch'
        ? await this.platformStore.watch(START, 0, signal)
        : await this.platformStore.readAll(false);
    this.read = read.unwrap();
  },
);

Then('both sound records are read', function (this: OddItemsWorld) {
  const keys = this.read.changes.map(({key}) => key);
  assert.deepEqual(
    keys.filter(key => key !== ODD_KEY),
    ['servers/a', 'servers/b'],
  );
  assert.equal(this.read.revision, 3);
});

Then('the odd one is read as unreadable', function (this: OddItemsWorld) {
  const odd = this.read.changes.find(({key}) => key === ODD_KEY);
  assert.ok(odd !== undefined);
  const decoded = new PlatformDecoder().decode(ODD_KEY, odd.value);
  assert.ok(decoded.kind === 'upstream');
  assert.ok(decoded.isPresent && decoded.record === undefined);
});

Then('the odd one is left out', function (this: OddItemsWorld) {
  assert.equal(this.read.changes.length, 2);
});
