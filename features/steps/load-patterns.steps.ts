/** Steps for decisions under load: no network and no clock of their own. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  retryAfterMs,
  expectedLoss,
  GroupFailureShare,
  hedgeReserve,
  isOtherRegionWorthQuerying,
  RepeatBudget,
  SeededRandom,
  UpstreamStatistics,
  WeightedRoundRobin,
  type Distance,
} from '@wasabidyke/policy';

/** Time at which each scenario begins, in milliseconds. */
const START_MS = 50_000;

const SECOND_MS = 1_000;
const SMALL_REQUEST_BYTES = 1_200;
const SEED = 11;

/** Repeats per request that the users' sites allow. */
const RATIO = 0.2;

/** Time between requests of one entry to a service that sheds, in milliseconds. */
const SHED_GAP_MS = 100;

const ROUND_TRIPS_MS: Readonly<Record<Distance, number>> = {
  'same-zone': 1,
  'same-region': 3,
  'other-region': 41,
};

/** Answers in time that a megabyte costs, as on the users' sites. */
const COSTS = {crossZonePerMegabyte: 14, crossRegionPerMegabyte: 60};

interface Repeats {
  readonly requests: number[];
  readonly repeats: number[];
}

class LoadPatternWorld {
  nowMs = START_MS;
  readonly upstreams: UpstreamStatistics[] = [];
  /** Failures in this region, and in others. */
  readonly levels = {
    near: new GroupFailureShare(),
    far: new GroupFailureShare(),
  };
  budgets: RepeatBudget[] = [];
  windowMs = 0;
  readonly times: Repeats = {requests: [], repeats: []};
  turn: WeightedRoundRobin | undefined;
  dealt: Array<string | undefined> = [];
  returns: number[] = [];

  report(
    upstream: UpstreamStatistics,
    busy: number,
    slots: number,
    pace: number,
  ): void {
    const running = Math.min(busy, slots);
    const report = {running, waiting: busy - running, slots, slowdown: pace};
    upstream.onReport(report, this.nowMs);
  }

  choose(workMs: number, targetMs: number, bytes: number): number {
    const losses = this.losses(workMs, targetMs, bytes);
    return losses.indexOf(Math.min(...losses)) + 1;
  }

  losses(workMs: number, targetMs: number, bytes: number): number[] {
    return this.upstreams.map(upstream =>
      expectedLoss({
        estimateMs: upstream.estimateMs({nowMs: this.nowMs, workMs}),
        targetRemainingMs: targetMs,
        remainingMs: 10 * targetMs,
        failureShare: upstream.failureShare(this.nowMs),
        distance: upstream.distance,
        bytes,
        costs: COSTS,
      }),
    );
  }
}

Given(
  'an upstream in {string} that reports {int} of {int} slots busy at {float} times the usual pace',
  function (
    this: object,
    distance: Distance,
    busy: number,
    slots: number,
    pace: number,
  ) {
    const world = toWorld(this);
    const upstream = new UpstreamStatistics(
      distance,
      ROUND_TRIPS_MS[distance],
      slots,
      distance === 'other-region' ? world.levels.far : world.levels.near,
    );
    world.upstreams.push(upstream);
    world.report(upstream, busy, slots, pace);
  },
);

Given(
  'upstream {int} is cold for {int} ms',
  function (this: object, index: number, coldMs: number) {
    const world = toWorld(this);
    world.upstreams[index - 1].setWarmUpEnd(world.nowMs + coldMs);
  },
);

When(
  'upstream {int} reports {int} of {int} slots busy at {float} times the usual pace',
  function (
    this: object,
    index: number,
    busy: number,
    slots: number,
    pace: number,
  ) {
    const world = toWorld(this);
    world.report(world.upstreams[index - 1], busy, slots, pace);
  },
);

When(
  '{int} requests fail at upstream {int}',
  function (this: object, count: number, index: number) {
    const world = toWorld(this);
    for (let sent = 0; sent < count; sent++) {
      world.upstreams[index - 1].onSend();
      world.upstreams[index - 1].onEnd('failed', world.nowMs);
    }
  },
);

When(
  '{int} requests are answered by upstream {int}',
  function (this: object, count: number, index: number) {
    const world = toWorld(this);
    for (let answered = 0; answered < count; answered++) {
      world.upstreams[index - 1].onEnd('answered', world.nowMs);
    }
  },
);

Then(
  'upstream {int} has {int} free slots',
  function (this: object, index: number, freeSlots: number) {
    const world = toWorld(this);
    const upstream = world.upstreams[index - 1];
    assert.equal(upstream.freeSlots(world.nowMs), freeSlots);
  },
);

When(
  '{int} requests are sent to upstream {int}',
  function (this: object, count: number, index: number) {
    for (let sent = 0; sent < count; sent++) {
      toWorld(this).upstreams[index - 1].onSend();
    }
  },
);

When(
  '{int} request(s) in turn at upstreams {int} and {int} are shed every other time',
  function (this: object, count: number, first: number, second: number) {
    const world = toWorld(this);
    const pair = [first, second];
    for (let sent = 0; sent < count; sent++) {
      const upstream = world.upstreams[pair[Math.floor(sent / 2) % 2] - 1];
      world.nowMs += SHED_GAP_MS;
      upstream.onSend();
      upstream.onEnd(sent % 2 === 0 ? 'refused' : 'answered', world.nowMs);
    }
  },
);

Then(
  /^second attempts may spend (all|none|some) of the budget$/,
  function (this: object, part: string) {
    const {levels, nowMs} = toWorld(this);
    const kept = hedgeReserve(levels.near.share(nowMs), RATIO);
    const budget = new RepeatBudget({
      ratio: RATIO,
      slack: 10,
      windowMs: SECOND_MS,
      entries: 1,
    });
    let spent = 0;
    while (budget.has(nowMs, kept) && budget.take(nowMs)) {
      spent += 1;
    }
    const expected = {all: spent === 10, none: spent === 0}[part];
    assert.ok(expected ?? (spent > 0 && spent < 10), `${spent} of 10`);
  },
);

When(
  'upstream {int} leaves a load query unanswered',
  function (this: object, index: number) {
    const world = toWorld(this);
    world.upstreams[index - 1].onUnresponsive(world.nowMs);
  },
);

Then(
  /^other regions are (asked|not asked) for a request of (\d+) ms work and (\d+) ms target$/,
  function (this: object, asked: string, workMs: string, targetMs: string) {
    const world = toWorld(this);
    const losses = world
      .losses(Number(workMs), Number(targetMs), SMALL_REQUEST_BYTES)
      .filter((_, index) => world.upstreams[index].distance !== 'other-region');
    const farShare = world.levels.far.share(world.nowMs);
    assert.equal(
      isOtherRegionWorthQuerying(Math.min(...losses), farShare),
      asked === 'asked',
    );
  },
);

When('{int} ms pass', function (this: object, milliseconds: number) {
  toWorld(this).nowMs += milliseconds;
});

Then(
  'a request of {int} ms work and {int} ms target goes to upstream {int}',
  function (this: object, workMs: number, targetMs: number, index: number) {
    assert.equal(
      toWorld(this).choose(workMs, targetMs, SMALL_REQUEST_BYTES),
      index,
    );
  },
);

Then(
  'a request of {int} bytes, {int} ms work and {int} ms target goes to upstream {int}',
  function (
    this: object,
    bytes: number,
    workMs: number,
    targetMs: number,
    index: number,
  ) {
    assert.equal(toWorld(this).choose(workMs, targetMs, bytes), index);
  },
);

Given(
  '{int} entries that share repeats of {float} per request and {int} beside them in {int} ms',
  function (
    this: object,
    entries: number,
    ratio: number,
    slack: number,
    windowMs: number,
  ) {
    const world = toWorld(this);
    world.windowMs = windowMs;
    world.budgets = Array.from(
      {length: entries},
      () => new RepeatBudget({ratio, slack, windowMs, entries}),
    );
  },
);

When(
  'each entry gets {int} requests a second and repeats all it may, for {int} s',
  function (this: object, perSecond: number, seconds: number) {
    const world = toWorld(this);
    const gapMs = SECOND_MS / perSecond;
    for (let sent = 0; sent < perSecond * seconds; sent++) {
      world.nowMs += gapMs;
      for (const budget of world.budgets) {
        budget.onRequest(world.nowMs);
        world.times.requests.push(world.nowMs);
        while (budget.take(world.nowMs)) {
          world.times.repeats.push(world.nowMs);
        }
      }
    }
  },
);

Then(
  'no window holds more repeats than {float} of its requests and {int}',
  function (this: object, ratio: number, slack: number) {
    const {times, windowMs, nowMs} = toWorld(this);
    assert.ok(times.repeats.length > slack);
    for (
      let endMs = START_MS;
      endMs <= nowMs + windowMs;
      endMs += SECOND_MS / 4
    ) {
      const count = (list: number[], fromMs: number) =>
        list.filter(time => time > fromMs && time <= fromMs + windowMs).length;
      const fromMs = endMs - windowMs;
      const requests = Math.max(
        count(times.requests, fromMs),
        count(times.requests, fromMs - windowMs),
        count(times.requests, fromMs - windowMs / 2),
      );
      assert.ok(
        count(times.repeats, fromMs) <= ratio * requests + slack,
        `window that ends at ${endMs}`,
      );
    }
  },
);

Given(
  'targets of weight {int} and {int}',
  function (this: object, first: number, second: number) {
    toWorld(this).turn = new WeightedRoundRobin([
      {name: 'first', weight: first},
      {name: 'second', weight: second},
    ]);
  },
);

When('{int} requests are dealt', function (this: object, count: number) {
  const world = toWorld(this);
  for (let dealt = 0; dealt < count; dealt++) {
    world.dealt.push(world.turn?.next());
  }
});

Then(
  'the second target got {int} of them',
  function (this: object, count: number) {
    assert.equal(
      toWorld(this).dealt.filter(name => name === 'second').length,
      count,
    );
  },
);

When(
  '{int} requests are refused with {int} waiting and {int} ms for each',
  function (this: object, count: number, waiting: number, eachMs: number) {
    const random = new SeededRandom(SEED);
    toWorld(this).returns = Array.from({length: count}, () =>
      retryAfterMs(waiting, eachMs, random),
    );
  },
);

Then(
  'they return between {int} and {int} ms later, in at least {int} different milliseconds',
  function (
    this: object,
    shortestMs: number,
    longestMs: number,
    different: number,
  ) {
    const {returns} = toWorld(this);
    assert.ok(returns.every(time => time >= shortestMs && time <= longestMs));
    assert.ok(new Set(returns.map(time => Math.floor(time))).size >= different);
  },
);

const worlds = new WeakMap<object, LoadPatternWorld>();

/** The state of one scenario. */
function toWorld(scenario: object): LoadPatternWorld {
  const known = worlds.get(scenario);
  if (known !== undefined) {
    return known;
  }
  const world = new LoadPatternWorld();
  worlds.set(scenario, world);
  return world;
}
