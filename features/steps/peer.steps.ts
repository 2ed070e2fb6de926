/** Steps for entries that talk to each other within one process. */

import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {LedgerRecord, MemberState} from '@wasabidyke/peer';
import {MINUTE_MS, SECOND_MS} from '@wasabidyke/shared';
import {PeerGroup, type PeerSeat} from '../support/peer-group.js';
import {
  assertSoon,
  countLive,
  readCounter,
  seatOf,
  seatsOf,
  START_TIMEOUT,
  type PeerWorld,
} from '../support/peer-world.js';

const REGIONS = ['north', 'east', 'west'];
const KILOBYTE = 1_000;
/** Dozens of entries in one process at the usual period. */
const CALM_TIMINGS = {periodMs: SECOND_MS};
const DIGEST = '5'.repeat(64);
const RECORD = 'the record of revision 5';

async function addEntries(
  group: PeerGroup,
  region: string,
  count: number,
): Promise<void> {
  for (let index = 0; index < count; index++) {
    const number = String(group.seats.length + 1).padStart(3, '0');
    await group.add({entry: `entry-${number}`, region});
  }
}

function knowsDeparture({task}: PeerSeat, vm: string): boolean {
  return task
    .rows('departure')
    .some(({value}) => value.target.kind === 'vm' && value.target.name === vm);
}

async function assertDepartureKnown(
  seats: readonly PeerSeat[],
  vm: string,
  seconds: number,
): Promise<void> {
  const ignorant = () => seats.filter(seat => !knowsDeparture(seat, vm));
  await assertSoon(
    () => ignorant().length === 0,
    seconds,
    `the departure at all of ${seats.length} entries`,
  );
}

After(async function (this: PeerWorld) {
  await this.group?.stop();
});

Given(
  '{int} entries in region {string} that talk to each other',
  START_TIMEOUT,
  async function (this: PeerWorld, count: number, region: string) {
    this.group = new PeerGroup();
    await addEntries(this.group, region, count);
    const isWhole = () =>
      seatsOf(this).every(seat => countLive(seat) === count);
    await assertSoon(isWhole, 20, 'knowing each other');
  },
);

Given(
  '{int} entries in each of 3 regions that talk to each other',
  START_TIMEOUT,
  async function (this: PeerWorld, count: number) {
    this.group = new PeerGroup(REGIONS);
    for (const region of REGIONS) {
      await addEntries(this.group, region, count);
    }
    const total = count * REGIONS.length;
    const isWhole = () =>
      seatsOf(this).every(seat => countLive(seat) === total);
    await assertSoon(isWhole, 20, 'knowing each other');
  },
);

Given(
  '{int} entries in region {string}, {int} in {string} and {int} in {string}',
  {timeout: 60 * SECOND_MS},
  async function (
    this: PeerWorld,
    first: number,
    north: string,
    second: number,
    east: string,
    third: number,
    west: string,
  ) {
    this.group = new PeerGroup([], CALM_TIMINGS);
    await addEntries(this.group, north, first);
    await addEntries(this.group, east, second);
    await addEntries(this.group, west, third);
    const total = first + second + third;
    const isWhole = () =>
      seatsOf(this).every(seat => countLive(seat) === total);
    await assertSoon(isWhole, 30, 'knowing each other');
  },
);

Then(
  'every entry lists {int} live entries within {int} seconds',
  START_TIMEOUT,
  async function (this: PeerWorld, count: number, seconds: number) {
    const isListed = () =>
      seatsOf(this).every(seat => countLive(seat) === count);
    await assertSoon(isListed, seconds, `${count} live entries`);
  },
);

When(
  'entry {int} says that it is {string}',
  function (this: PeerWorld, number: number, state: string) {
    seatOf(this, number).task.setState(state as MemberState);
  },
);

Then(
  'every entry knows within {int} second(s) that entry {int} is {string}',
  async function (
    this: PeerWorld,
    seconds: number,
    number: number,
    state: string,
  ) {
    const {entry} = seatOf(this, number).task.self;
    const isKnown = () =>
      seatsOf(this).every(({task}) =>
        task
          .members()
          .some(({member}) => member.entry === entry && member.state === state),
      );
    await assertSoon(isKnown, seconds, `the state ${state}`);
  },
);

When(
  'a second process runs under the name of entry {int}',
  async function (this: PeerWorld, number: number) {
    const {entry, region} = seatOf(this, number).task.self;
    this.newSeat = await this.group!.add({entry, region});
  },
);

Then(
  'every other entry knows within {int} seconds only its new process',
  START_TIMEOUT,
  async function (this: PeerWorld, seconds: number) {
    const {entry, incarnation} = this.newSeat.task.self;
    const others = seatsOf(this).filter(
      seat => seat === this.newSeat || seat.task.self.entry !== entry,
    );
    const isKnown = () =>
      others.every(({task}) =>
        task
          .members()
          .filter(({member}) => member.entry === entry)
          .every(({member}) => member.incarnation === incarnation),
      );
    await assertSoon(isKnown, seconds, 'the new process alone');
  },
);

Then(
  'the earlier one is told within {int} seconds that it was replaced',
  START_TIMEOUT,
  async function (this: PeerWorld, seconds: number) {
    const {entry} = this.newSeat.task.self;
    const earlier = seatsOf(this).find(({task}) => task.self.entry === entry)!;
    await assertSoon(
      () => earlier.handler.isReplaced,
      seconds,
      'the notice of being replaced',
    );
    assert.equal(this.newSeat.handler.isReplaced, false);
  },
);

When(
  'entry {int} learns that VM {string} is leaving',
  function (this: PeerWorld, number: number, vm: string) {
    seatOf(this, number).task.publish({
      kind: 'departure',
      value: {target: {kind: 'vm', name: vm}, source: 'vm-list'},
      expiresAtMs: Date.now() + MINUTE_MS,
    });
  },
);

Then(
  'every entry knows within {int} second(s) that VM {string} is leaving',
  START_TIMEOUT,
  async function (this: PeerWorld, seconds: number, vm: string) {
    await assertDepartureKnown(seatsOf(this), vm, seconds);
  },
);

Then(
  /^every entry of (the other regions|region "west") knows within (\d+) second that VM "([^"]+)" is leaving$/,
  async function (this: PeerWorld, where: string, seconds: number, vm: string) {
    const isWest = where !== 'the other regions';
    const seats = seatsOf(this).filter(
      ({task}) => (task.self.region === 'west') === isWest,
    );
    await assertDepartureKnown(seats, vm, seconds);
  },
);

Then(
  'no entry of region {string} knows that VM {string} is leaving',
  function (this: PeerWorld, region: string, vm: string) {
    const seats = seatsOf(this).filter(({task}) => task.self.region === region);
    assert.ok(seats.every(seat => !knowsDeparture(seat, vm)));
  },
);

When('region {string} is cut off', function (this: PeerWorld, region: string) {
  this.group!.cut(region);
});

When(
  'region {string} is connected again',
  function (this: PeerWorld, region: string) {
    this.group!.restore(region);
  },
);

Then(
  'a row published by entry {int} is acknowledged by {int} entries and missing at {int}',
  async function (
    this: PeerWorld,
    number: number,
    acknowledged: number,
    missing: number,
  ) {
    const answer = await seatOf(this, number).task.publishAndWait(
      {
        kind: 'departure',
        value: {target: {kind: 'vm', name: 'vm-9'}, source: 'upstream'},
        expiresAtMs: Date.now() + MINUTE_MS,
      },
      SECOND_MS,
    );
    assert.equal(answer.acknowledged.length, acknowledged);
    assert.equal(answer.missing.length, missing);
  },
);

When(
  'revision 5 comes into force at entry {int}',
  function (this: PeerWorld, number: number) {
    putInForce(seatOf(this, number));
  },
);

Then(
  'every other entry fetches its record within {int} seconds',
  START_TIMEOUT,
  async function (this: PeerWorld, seconds: number) {
    const waiting = seatsOf(this).filter(({handler}) => handler.revision < 5);
    const records = await Promise.all(
      waiting.map(async seat => {
        const record = await seat.task.fetchManifest(0, seconds * SECOND_MS);
        putInForce(seat);
        return record;
      }),
    );
    assert.equal(records.length, seatsOf(this).length - 1);
    assert.ok(records.every(record => record === RECORD));
  },
);

function putInForce({task, handler}: PeerSeat): void {
  handler.revision = 5;
  handler.record = RECORD;
  task.setRevision(5, DIGEST);
}

Then(
  'the record was fetched across regions at most {int} times',
  function (this: PeerWorld, limit: number) {
    const name =
      'wasabidyke_peer_calls_answered_total{procedure="fetch-manifest"';
    const first = seatOf(this, 1).task.self.region;
    const crossing = seatsOf(this)
      .filter(({task}) => task.self.region === first)
      .reduce((sum, seat) => sum + readCounter(seat, name), 0);
    const own = seatsOf(this).filter(({task}) => task.self.region === first);
    assert.ok(crossing - (own.length - 1) <= limit, `${crossing} fetches`);
  },
);

When(
  'entry {int} hands {int} records of {int} kilobytes to entry {int}',
  START_TIMEOUT,
  async function (
    this: PeerWorld,
    from: number,
    count: number,
    kilobytes: number,
    to: number,
  ) {
    const {task} = seatOf(this, from);
    const body = new Uint8Array(kilobytes * KILOBYTE).fill(7);
    const records: LedgerRecord[] = Array.from({length: count}, (_, index) => ({
      key: `key-${index}`,
      fingerprint: 'same',
      home: task.self.incarnation,
      state: 'done',
      status: 200,
      headers: [{name: 'content-type', value: 'text/plain'}],
      body,
      lapsesInMs: MINUTE_MS,
    }));
    const answer = await task.handOver(seatOf(this, to).task.self, records);
    this.acceptedKeys = answer.unwrap().acceptedKeys;
  },
);

Then(
  'entry {int} holds them all and has acknowledged each',
  function (this: PeerWorld, number: number) {
    const {records} = seatOf(this, number).handler;
    assert.equal(records.length, this.acceptedKeys.size);
    assert.ok(records.every(({key}) => this.acceptedKeys.has(key)));
    assert.equal(records.at(-1)?.body[0], 7);
  },
);
