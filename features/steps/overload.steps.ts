/** Steps for entries whose upstreams are full: no network and no clock of their own. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  OverloadAdmission,
  SeededRandom,
  type AdmissionDecision,
} from '@wasabidyke/policy';
import type {OverloadOptions} from '../support/overload-options.js';
import {OverloadSimulation} from '../support/overload-simulation.js';
import {capacityPerSecond} from '../support/overload-upstream.js';

const SEED = 7;
const SECOND_MS = 1_000;

/** Kinds of requests as on the users' sites with two slots, and with more. */
const SHORT_KINDS = [
  {
    name: 'look-up',
    priority: 2,
    share: 0.66,
    workMs: 60,
    targetMs: 200,
    deadlineMs: 1_200,
  },
  {
    name: 'booking',
    priority: 1,
    share: 0.34,
    workMs: 78,
    targetMs: 250,
    deadlineMs: 1_200,
  },
];
const LONG_KINDS = [
  {
    name: 'read',
    priority: 2,
    share: 1,
    workMs: 471,
    targetMs: 1_219,
    deadlineMs: 12_157,
  },
];

/** A request that would be late in a queue, and in time in a slot. */
const LATE_IN_QUEUE = {
  nowMs: 0,
  estimateMs: 190,
  freeSlotEstimateMs: 100,
  slowingSlots: 0,
  targetRemainingMs: 200,
  maximumWaitMs: 25,
  waitedMs: 0,
};

class OverloadWorld {
  options: Omit<OverloadOptions, 'manner'> | undefined;
  refused: Array<{atMs: number; returnMs: number}> = [];
  admission = new OverloadAdmission(new SeededRandom(SEED));
  readonly #played = new Map<string, OverloadSimulation>();

  play(manner: OverloadOptions['manner']): OverloadSimulation {
    const known = this.#played.get(manner);
    if (known !== undefined) {
      return known;
    }
    assert.ok(this.options);
    const simulation = new OverloadSimulation({...this.options, manner}, SEED);
    simulation.run();
    this.#played.set(manner, simulation);
    return simulation;
  }

  timelyShare(manner: OverloadOptions['manner'], fromMs: number): number {
    assert.ok(this.options);
    // What arrives last has no time to be answered.
    const [{targetMs}] = this.options.kinds;
    const untilMs = this.options.lengthMs - 2 * targetMs;
    return this.play(manner).timelyShare(fromMs, untilMs);
  }
}

const worlds = new WeakMap<object, OverloadWorld>();

function toWorld(key: object): OverloadWorld {
  const world = worlds.get(key) ?? new OverloadWorld();
  worlds.set(key, world);
  return world;
}

Given(
  '{int} entries before {int} upstreams with {int} slots',
  function (this: object, entries: number, upstreams: number, slots: number) {
    toWorld(this).options = {
      entries,
      upstreams,
      slots,
      kinds: slots === 2 ? SHORT_KINDS : LONG_KINDS,
      rate: () => 0,
      running: () => upstreams,
      lengthMs: 0,
    };
  },
);

When(
  '{float} times what they can run is asked for {int} s',
  function (this: object, load: number, seconds: number) {
    const world = toWorld(this);
    assert.ok(world.options);
    const {upstreams} = world.options;
    const rate = load * capacityPerSecond(world.options, upstreams);
    const lengthMs = seconds * SECOND_MS;
    world.options = {...world.options, rate: () => rate, lengthMs};
  },
);

When(
  '{float} of what {int} upstreams can run is asked for {int} s, and {float} times that from {int} s to {int} s and from {int} s to {int} s, while {int} upstreams leave at {int} s',
  function (
    this: object,
    load: number,
    remaining: number,
    seconds: number,
    factor: number,
    first: number,
    firstEnd: number,
    second: number,
    secondEnd: number,
    leaving: number,
    leaveAt: number,
  ) {
    const world = toWorld(this);
    assert.ok(world.options);
    const {upstreams} = world.options;
    assert.equal(upstreams - leaving, remaining);
    const usual = load * capacityPerSecond(world.options, remaining);
    const isBurst = (at: number) =>
      (at >= first && at < firstEnd) || (at >= second && at < secondEnd);
    world.options = {
      ...world.options,
      rate: atMs => (isBurst(atMs / SECOND_MS) ? usual * factor : usual),
      running: atMs => (atMs < leaveAt * SECOND_MS ? upstreams : remaining),
      lengthMs: seconds * SECOND_MS,
    };
  },
);

Then(
  'at least {float} of what one entry that knows all loads at each moment answers in time is answered in time after {int} s',
  function (this: object, share: number, seconds: number) {
    const world = toWorld(this);
    const reachable = world.timelyShare('informed', seconds * SECOND_MS);
    const reached = world.timelyShare('admission', seconds * SECOND_MS);
    assert.ok(
      reached >= share * reachable,
      `${reached} of the requests, and ${reachable} by an informed entry`,
    );
  },
);

Then(
  'entries that queue late requests answer less than half of that',
  function (this: object) {
    const world = toWorld(this);
    const fromMs = 2 * SECOND_MS;
    const queued = world.timelyShare('late-queue', fromMs);
    const reached = world.timelyShare('admission', fromMs);
    assert.ok(queued < reached / 2, `${queued} of the requests, ${reached}`);
  },
);

Then(
  'no kind of request is answered in time less than half as often as all',
  function (this: object) {
    const world = toWorld(this);
    assert.ok(world.options);
    const played = world.play('admission');
    const all = played.timelyShare(0, Infinity);
    for (const {name} of world.options.kinds) {
      const share = played.timelyShare(0, Infinity, name);
      assert.ok(share >= all / 2, `${name}: ${share}, all: ${all}`);
    }
  },
);

Then(
  'at most {int} in 100 requests is refused',
  function (this: object, count: number) {
    const {requests} = toWorld(this).play('admission');
    const refused = requests.filter(({refusals}) => refusals > 0).length;
    assert.ok(refused <= (count / 100) * requests.length, `${refused} refused`);
  },
);

When(
  '{int} requests are refused over {int} s by an entry whose upstreams are full, with a slot each {int} ms',
  function (this: object, count: number, seconds: number, slotMs: number) {
    const world = toWorld(this);
    for (let index = 0; index < count; index++) {
      const atMs = (index * seconds * SECOND_MS) / count;
      const returnMs = world.admission.refuse(slotMs, atMs);
      world.refused.push({atMs, returnMs});
    }
  },
);

Then(
  'those refused in the first {int} ms come back within {int} ms',
  function (this: object, fromStartMs: number, limitMs: number) {
    const early = toWorld(this).refused.filter(({atMs}) => atMs < fromStartMs);
    assert.ok(early.length > 0);
    assert.ok(early.every(({returnMs}) => returnMs <= limitMs));
  },
);

Then(
  'those refused in the last {int} ms come back after {int} to {int} ms, in at least {int} different milliseconds',
  function (
    this: object,
    fromEndMs: number,
    minimumMs: number,
    maximumMs: number,
    different: number,
  ) {
    const {refused} = toWorld(this);
    const lastMs = refused[refused.length - 1].atMs;
    const late = refused
      .filter(({atMs}) => atMs > lastMs - fromEndMs)
      .map(({returnMs}) => Math.round(returnMs));
    assert.ok(
      late.every(ms => ms >= minimumMs && ms <= maximumMs),
      `${late}`,
    );
    assert.ok(new Set(late).size >= Math.min(different, late.length));
  },
);

Given(
  'an entry at which a request of priority {int} waits for a slot',
  function (this: object, priority: number) {
    toWorld(this).admission.onWait(priority);
  },
);

Then(
  /^a request of priority (\d) (waits|is sent) while (\d) slots? (?:is|are) free$/,
  function (this: object, priority: number, what: string, freeSlots: number) {
    const decision = toWorld(this).admission.decide({
      ...LATE_IN_QUEUE,
      priority: Number(priority),
      freeSlots: Number(freeSlots),
    });
    const expected: AdmissionDecision = what === 'waits' ? 'wait' : 'send';
    assert.equal(decision, expected);
  },
);
