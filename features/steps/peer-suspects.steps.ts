/** Steps for requests that crash upstreams, as entries tell each other of them. */

import {Then, When} from '@cucumber/cucumber';
import {MINUTE_MS} from '@wasabidyke/shared';
import {
  assertSoon,
  seatOf,
  seatsOf,
  type PeerWorld,
} from '../support/peer-world.js';

const SERVICE = 'shop';
const FINGERPRINT = 'request-1';

When(
  'each entry reports that one request crashed {string}',
  function (this: PeerWorld, upstream: string) {
    for (const {task} of seatsOf(this)) {
      task.publish({
        kind: 'suspect',
        value: {
          service: SERVICE,
          fingerprint: FINGERPRINT,
          reporter: task.self.incarnation,
          upstreams: [upstream],
        },
        expiresAtMs: Date.now() + MINUTE_MS,
      });
    }
  },
);

When(
  'entry {int} reports that it crashed {string} as well',
  function (this: PeerWorld, number: number, upstream: string) {
    const {task} = seatOf(this, number);
    const [first] = task.suspects();
    task.publish({
      kind: 'suspect',
      value: {
        service: SERVICE,
        fingerprint: FINGERPRINT,
        reporter: task.self.incarnation,
        upstreams: [...first.upstreams, upstream],
      },
      expiresAtMs: Date.now() + MINUTE_MS,
    });
  },
);

Then(
  'every entry knows within {int} seconds that it crashed {int} upstreams',
  async function (this: PeerWorld, seconds: number, count: number) {
    const isKnown = () =>
      seatsOf(this).every(
        ({task}) =>
          task.rows('suspect').length === seatsOf(this).length &&
          task.suspects().length === 1 &&
          task.suspects()[0].upstreams.size === count,
      );
    await assertSoon(isKnown, seconds, 'knowing the crashes');
  },
);

When('another entry joins', async function (this: PeerWorld) {
  const {region} = seatOf(this, 1).task.self;
  this.newSeat = await this.group!.add({entry: 'joining', region});
});

Then(
  'the entry that joined knows within {int} seconds that it crashed {int} upstreams',
  async function (this: PeerWorld, seconds: number, count: number) {
    const isKnown = () => {
      const [suspect] = this.newSeat.task.suspects();
      return suspect?.upstreams.size === count;
    };
    await assertSoon(isKnown, seconds, 'knowing the crashes');
  },
);
