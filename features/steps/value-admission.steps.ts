/** Steps for entries that admit requests by value: no network and no clock of their own. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {repeatReserve, SeededRandom} from '@wasabidyke/policy';
import {
  JUDGED_FROM_MS,
  JUDGED_UNTIL_MS,
  SEED,
  toWorld,
} from '../support/value-world.js';

const SECOND_MS = 1_000;

Given(
  '{int} entries that admit by value',
  function (this: object, entries: number) {
    toWorld(this).entries = entries;
  },
);

When(/^(.+) comes$/, function (this: object, name: string) {
  toWorld(this).play(name);
});

Then(
  'at least {float} of the most urgent are answered in time',
  function (this: object, share: number) {
    const timely = toWorld(this).urgentInTime();
    assert.ok(timely >= share, `${timely}`);
  },
);

Then(
  'at least {float} of the credit that the capacity allows is earned',
  function (this: object, share: number) {
    const world = toWorld(this);
    const earned = world.simulations
      .map(simulation => simulation.credit(JUDGED_FROM_MS, JUDGED_UNTIL_MS))
      .reduce((sum, each) => sum + each, 0);
    const reached = earned / world.attainableCredit;
    assert.ok(reached >= share, `${reached}`);
  },
);

Then(
  'at least {float} more of the most urgent are answered in time than by order of arrival',
  function (this: object, difference: number) {
    const world = toWorld(this);
    const share = world.urgentInTime();
    world.play('a rejection of half of what is sent', 'admission');
    const former = world.urgentInTime();
    assert.ok(share >= former + difference, `${share}, ${former} by arrival`);
  },
);

Given(
  'an entry whose upstreams reject {float}, with {int} requests and {int} repeats of priorities {int} and {int}',
  function (
    this: object,
    failureShare: number,
    requests: number,
    repeats: number,
    first: number,
    second: number,
  ) {
    const world = toWorld(this);
    world.failureShare = failureShare;
    for (let index = 0; index < requests; index++) {
      const priority = index % 2 === 0 ? first : second;
      world.admission.onArrival(
        {priority, workMs: 80, account: undefined},
        world.nowMs,
      );
      world.repeats.onRequest(world.nowMs);
    }
    for (let index = 0; index < repeats; index++) {
      assert.ok(world.repeats.take(world.nowMs));
    }
  },
);

Then(
  /^a (late )?request of priority (\d) (may|may not) be sent once more$/,
  function (
    this: object,
    isLate: string | null,
    priority: string,
    what: string,
  ) {
    const {admission, repeats, nowMs, failureShare} = toWorld(this);
    const reserved = repeatReserve({
      moreUrgentShare: admission.moreUrgentShare(Number(priority)),
      failureShare,
      ratio: repeats.ratio,
      isLate: isLate !== null,
    });
    assert.equal(repeats.has(nowMs, reserved), what === 'may');
  },
);

Then(
  'at least {float} of the requests of the others are in time, and at most {float} fewer than if every account sent its usual',
  function (this: object, least: number, difference: number) {
    const world = toWorld(this);
    const share = world.othersInTime();
    world.play('every account at its usual');
    const usual = world.othersInTime();
    assert.ok(share >= least, `${share}`);
    assert.ok(usual - share <= difference, `${share}, ${usual} without`);
  },
);

Then(
  'each priority is served at least a quarter as often as all',
  function (this: object) {
    const world = toWorld(this);
    const all = world.servedShare();
    for (const {priority} of world.kinds) {
      const kinds = world.kinds.filter(kind => kind.priority === priority);
      const asked = kinds.flatMap(kind => world.requests(kind));
      const served = asked.filter(
        ({answeredAtMs}) => answeredAtMs !== undefined,
      );
      const share = served.length / asked.length;
      assert.ok(share >= all / 4, `${priority}: ${share}, all: ${all}`);
    }
  },
);

Then(
  'no priority is served less often than a less urgent one',
  function (this: object) {
    const world = toWorld(this);
    const shares = world.kinds.map(kind => world.servedShare(kind));
    // Allows for chance among a few hundred requests.
    const margin = 0.05;
    shares.slice(1).forEach((share, index) => {
      assert.ok(share <= shares[index] + margin, `${shares}`);
    });
  },
);

Then(
  'at most {int} in 100 requests is refused by entries that admit by value',
  function (this: object, count: number) {
    const requests = toWorld(this).requests();
    const refused = requests.filter(({refusals}) => refusals > 0).length;
    assert.ok(refused <= (count / 100) * requests.length, `${refused} refused`);
  },
);

Given(
  'an entry that admits by value, at which requests of priorities 0, 1 and 2 arrive',
  function (this: object) {
    const {admission} = toWorld(this);
    for (const priority of [0, 1, 2]) {
      admission.onArrival({priority, workMs: 80, account: undefined}, 0);
      admission.onSend({priority, workMs: 80, account: undefined}, 0, false);
    }
  },
);

When(
  'slots have been scarce for {int} s',
  function (this: object, seconds: number) {
    const world = toWorld(this);
    for (let step = 0; step < seconds * 10; step++) {
      world.nowMs += SECOND_MS / 10;
      world.admission.decide(world.query(0, 0, 24));
    }
  },
);

Then(
  /^a request of priority (\d)( that can't be in time)? (waits|is sent|is refused) while (\d+) of (\d+) slots (?:is|are) free( after it waited)?$/,
  function (
    this: object,
    priority: string,
    isLate: string | null,
    what: string,
    freeSlots: string,
    slots: string,
    hasWaited: string | null,
  ) {
    const world = toWorld(this);
    const query = world.query(
      Number(priority),
      Number(freeSlots),
      Number(slots),
    );
    const decision = world.admission.decide({
      ...query,
      ...(isLate ? {targetRemainingMs: 100} : {}),
      waitedMs: hasWaited ? query.maximumWaitMs : 0,
    });
    const expected = {waits: 'wait', 'is sent': 'send', 'is refused': 'refuse'};
    assert.equal(decision, expected[what as keyof typeof expected]);
  },
);

When(
  '{int} requests are refused over {int} s at random priorities',
  function (this: object, count: number, seconds: number) {
    const {admission, returnsMs} = toWorld(this);
    const random = new SeededRandom(SEED);
    for (let index = 0; index < count; index++) {
      const priority = random.nextBelow(3);
      const nowMs = (index * seconds * SECOND_MS) / count;
      const known = returnsMs.get(priority) ?? [];
      known.push(admission.refuse(40, nowMs, priority));
      returnsMs.set(priority, known);
    }
  },
);

Then(
  'the mean time to come back of priority {int} is at most {float} of that of priority {int}',
  function (this: object, urgent: number, share: number, other: number) {
    const {returnsMs} = toWorld(this);
    const mean = (priority: number) => {
      const all = returnsMs.get(priority) ?? [];
      return all.reduce((sum, ms) => sum + ms, 0) / all.length;
    };
    assert.ok(
      mean(urgent) <= share * mean(other),
      `${mean(urgent)}, ${mean(other)}`,
    );
  },
);
