/** Steps for what no entry would send: random messages, and a clock that runs ahead. */

import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {MINUTE_MS, SystemClock} from '@wasabidyke/shared';
import {
  assertSoon,
  countLive,
  readCounter,
  seatOf,
  seatsOf,
  START_TIMEOUT,
  type PeerWorld,
} from '../support/peer-world.js';
import {sendRandomMessages} from '../support/random-messages.js';

const HOUR_MS = 60 * MINUTE_MS;

class SkewedClock extends SystemClock {
  readonly #leadMs: number;

  constructor(leadMs: number) {
    super();
    this.#leadMs = leadMs;
  }

  override wallTime(): number {
    return super.wallTime() + this.#leadMs;
  }
}

When(
  'entry {int} is sent {int} random messages of seed {int}',
  START_TIMEOUT,
  async function (
    this: PeerWorld,
    number: number,
    count: number,
    seed: number,
  ) {
    const {peerAddress} = seatOf(this, number).task.self;
    await sendRandomMessages(peerAddress, count, seed);
  },
);

Then(
  'entry {int} still lists only the {int} entries and answers their exchanges',
  START_TIMEOUT,
  async function (this: PeerWorld, number: number, count: number) {
    const seat = seatOf(this, number);
    const name = 'wasabidyke_peer_calls_answered_total{procedure="exchange"';
    const before = readCounter(seat, name);
    const isAnswering = () => readCounter(seat, name) > before + 3;
    await assertSoon(isAnswering, 10, 'answering exchanges');
    const names = seatsOf(this).map(({task}) => task.self.entry);
    const listed = seat.task.members().map(({member}) => member.entry);
    assert.deepEqual(listed, names);
    assert.equal(countLive(seat), count);
  },
);

Then(
  'entry {int} has counted refusals',
  function (this: PeerWorld, number: number) {
    const name = 'wasabidyke_peer_refusals_total';
    assert.ok(readCounter(seatOf(this, number), name) > 0);
  },
);

When(
  'an entry whose clock runs 1 hour ahead joins',
  async function (this: PeerWorld) {
    const clock = new SkewedClock(HOUR_MS);
    const {region} = seatOf(this, 1).task.self;
    this.newSeat = await this.group!.add({entry: 'ahead', region, clock});
  },
);

Then(
  'after {int} exchanges no entry lists it',
  START_TIMEOUT,
  async function (this: PeerWorld, exchanges: number) {
    const name = 'wasabidyke_peer_calls_made_total{procedure="exchange"';
    const isDone = () => readCounter(this.newSeat, name) >= exchanges;
    await assertSoon(isDone, 20, 'the exchanges');
    const {entry} = this.newSeat.task.self;
    const others = seatsOf(this).filter(seat => seat !== this.newSeat);
    const names = others.flatMap(({task}) =>
      task.members().map(({member}) => member.entry),
    );
    assert.ok(!names.includes(entry));
  },
);
