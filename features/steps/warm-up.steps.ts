/** Steps for upstreams in warm-up as several entries see them, in simulated time. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  EntryLists,
  ServiceWarmUp,
  WarmUp,
  WarmUpDivision,
  type EntryList,
} from '@wasabidyke/policy';
import {SECOND_MS} from '@wasabidyke/shared';
import {WarmUpSimulation} from '../support/warm-up-simulation.js';

interface WarmUpWorld {
  simulation: WarmUpSimulation;
  ratePerSecond: number;
  service: ServiceWarmUp;
  warmUp: WarmUp;
  nowMs: number;
  doubtedAtMs: number;
  lists: EntryLists;
  countedLists: CountingLists;
}

/** Lists of entries that count how often they are read. */
class CountingLists extends EntryLists {
  reads = 0;

  override recent(nowMs: number): readonly EntryList[] {
    this.reads += 1;
    return super.recent(nowMs);
  }
}

/** The platform's bound in any one second: `bounds.warmup_overshoot` and `bounds.warmup_slack`. */
const OVERSHOOT = 1.5;
const SLACK = 8;

/** Configured warm-up of the upstreams, in milliseconds. */
const DURATION_MS = 10 * SECOND_MS;

function begin(
  world: WarmUpWorld,
  ...options: ConstructorParameters<typeof WarmUpSimulation>
): void {
  world.simulation = new WarmUpSimulation(...options);
  world.ratePerSecond = options[2];
}

Given(
  '{int} entries and an upstream in warm-up that takes {float} a second',
  function (this: WarmUpWorld, entries: number, rate: number) {
    begin(this, entries, 1, rate);
  },
);

Given(
  '{int} entries and {int} upstreams in warm-up that take {float} a second each',
  function (
    this: WarmUpWorld,
    entries: number,
    upstreams: number,
    rate: number,
  ) {
    begin(this, entries, upstreams, rate);
  },
);

Given(
  '{int} entries and an upstream that stays cold for {int} s more',
  function (this: WarmUpWorld, entries: number, seconds: number) {
    begin(this, entries, 1, 4, seconds * SECOND_MS);
  },
);

Given(
  'the upstream names a limit of {int} a second',
  function (this: WarmUpWorld, requestsPerSecond: number) {
    const {entries, nowMs} = this.simulation;
    for (const {limits} of entries) {
      limits[0].observe({requestsPerSecond, observedAtMs: nowMs}, nowMs);
    }
  },
);

When(
  'all entries are eager for {int} s',
  function (this: WarmUpWorld, seconds: number) {
    this.simulation.run(seconds * SECOND_MS);
  },
);

When('a chosen entry is lost', function (this: WarmUpWorld) {
  const {simulation} = this;
  const chosen = simulation.entries.find(
    ({limits}) => limits[0].ownPerSecond(simulation.nowMs) > 0,
  );
  assert.ok(chosen);
  simulation.lose(chosen);
});

When(
  'the others learn of it at different times within {int} ms',
  function (this: WarmUpWorld, withinMs: number) {
    this.simulation.spread(withinMs);
  },
);

When(
  'half of the entries are cut off, {string}',
  function (this: WarmUpWorld, view: string) {
    const {simulation} = this;
    const {entries, zone} = simulation;
    const isZoneSplit = view === "and the upstream's zone is down";
    // Each zone is split, or the one of the upstream is on one side.
    const cutOff = entries.filter(({listed}, index) =>
      isZoneSplit ? listed.zone === zone : index % 2 === 0,
    );
    const others = entries.filter(entry => !cutOff.includes(entry));
    simulation.applyToAll(others, others);
    if (view !== 'and keep their older list') {
      simulation.applyToAll(cutOff, cutOff);
    }
  },
);

When(
  'all entries are restarted and learn of each other within {int} ms',
  function (this: WarmUpWorld, withinMs: number) {
    this.simulation.restart(withinMs);
  },
);

When(
  'for {int} s an entry falls or joins each {int} ms and the others learn of it within {int} ms',
  function (
    this: WarmUpWorld,
    seconds: number,
    intervalMs: number,
    withinMs: number,
  ) {
    const {simulation} = this;
    const endMs = simulation.nowMs + seconds * SECOND_MS;
    let isJoining = false;
    while (simulation.nowMs < endMs) {
      if (isJoining) {
        simulation.join();
      } else {
        simulation.lose(simulation.draw());
      }
      isJoining = !isJoining;
      simulation.spread(withinMs);
      simulation.run(intervalMs);
    }
  },
);

When(
  /^all entries in its (zone|region) are lost and the others know it$/,
  function (this: WarmUpWorld, place: 'zone' | 'region') {
    const {simulation} = this;
    const {zone} = simulation;
    for (const entry of simulation.entries) {
      const {listed} = entry;
      const isLost =
        place === 'zone' ? listed.zone === zone : listed.region === zone[0];
      if (isLost) {
        simulation.lose(entry);
      }
    }
    simulation.applyToAll(simulation.entries);
  },
);

When(
  'the upstream is said to be warm and cold again each {int} ms for {int} s',
  function (this: WarmUpWorld, intervalMs: number, seconds: number) {
    const {simulation} = this;
    const endMs = simulation.nowMs + seconds * SECOND_MS;
    while (simulation.nowMs < endMs) {
      simulation.answer(0);
      simulation.run(intervalMs);
      simulation.answer(DURATION_MS);
      simulation.run(intervalMs);
    }
  },
);

When('the warm-up is over', function (this: WarmUpWorld) {
  this.simulation.answer(0);
});

When(
  '{int} ms of the warm-up go by',
  function (this: WarmUpWorld, forMs: number) {
    if (this.simulation !== undefined) {
      this.simulation.nowMs += forMs;
    }
    this.nowMs += forMs;
  },
);

Then('the worst second stays within the bound', function (this: WarmUpWorld) {
  assertWorstSecond(this, this.ratePerSecond);
});

Then(
  'the worst second stays within 1.5 times {float} and 8',
  function (this: WarmUpWorld, rate: number) {
    assertWorstSecond(this, rate);
  },
);

Then(
  /^in (?:the last|all) (\d+) s (?:the|each) upstream got at least half of its rate$/,
  function (this: WarmUpWorld, seconds: string) {
    const {simulation, ratePerSecond} = this;
    const sinceMs = simulation.nowMs - Number(seconds) * SECOND_MS;
    const least = simulation.leastSince(sinceMs);
    const wanted = (ratePerSecond * Number(seconds)) / 2;
    assert.ok(least >= wanted, `${least} of ${wanted}`);
  },
);

Then(
  "only entries of the upstream's zone sent anything",
  function (this: WarmUpWorld) {
    const {sent, zone} = this.simulation;
    assert.deepEqual(
      new Set(sent.map(request => request.zone)),
      new Set([zone]),
    );
  },
);

Then('every entry may send to the upstream', function (this: WarmUpWorld) {
  const {entries, nowMs} = this.simulation;
  assert.ok(entries.every(({limits}) => limits[0].has(nowMs)));
});

Then(
  'the limit of {int} a second is applied',
  function (this: WarmUpWorld, limit: number) {
    const {entries, nowMs} = this.simulation;
    for (const {limits} of entries) {
      assert.equal(limits[0].appliedPerSecond(nowMs), limit);
    }
  },
);

Given('an upstream that is warm', function (this: WarmUpWorld) {
  createUpstream(this, 0);
});

Given(
  'an upstream whose record says that it is cold for {int} ms',
  function (this: WarmUpWorld, leftMs: number) {
    createUpstream(this, leftMs);
  },
);

When('it is in doubt whether it is cold', function (this: WarmUpWorld) {
  this.doubtedAtMs = this.nowMs;
  this.warmUp.onDoubt(this.nowMs, true);
});

When('a load query to it is overdue', function (this: WarmUpWorld) {
  this.doubtedAtMs = this.nowMs;
  this.warmUp.onDoubt(this.nowMs, false);
});

Then('no end of its warm-up is known', function (this: WarmUpWorld) {
  assert.equal(this.warmUp.remainingMs(this.nowMs), 0);
});

When(
  /^an answer names (nothing|\d+ ms left), to a query sent (\d+) ms (before|after) the doubt$/,
  function (
    this: WarmUpWorld,
    left: string,
    gapMs: string,
    order: 'before' | 'after',
  ) {
    const sign = order === 'before' ? -1 : 1;
    const askedAtMs = this.doubtedAtMs + sign * Number(gapMs);
    this.nowMs = Math.max(this.nowMs, askedAtMs + 1);
    const leftMs = left === 'nothing' ? undefined : parseInt(left, 10);
    this.warmUp.onAnswer({leftMs, askedAtMs}, this.nowMs);
  },
);

When(
  'its record says that it is cold for {int} ms',
  function (this: WarmUpWorld, leftMs: number) {
    this.warmUp.onRecord(leftMs, this.nowMs);
  },
);

When('its service has no warm-up any more', function (this: WarmUpWorld) {
  this.service.configuration = undefined;
});

Then(
  /^it counts as (cold|warm)$/,
  function (this: WarmUpWorld, state: 'cold' | 'warm') {
    assert.equal(this.warmUp.isCold(this.nowMs), state === 'cold');
  },
);

When(
  '{int} lists of entries are applied, one each {int} ms',
  function (this: WarmUpWorld, count: number, intervalMs: number) {
    this.lists = new EntryLists();
    for (let index = 0; index < count; index++) {
      const name = `entry-${index}`;
      const entry = {name, zone: 'a-1', region: 'a', isAnnounced: true};
      this.lists.apply([entry], index * intervalMs);
    }
  },
);

Then(
  '{int} former lists are held',
  function (this: WarmUpWorld, count: number) {
    // Every list counts as recent at an earlier time, so that reading drops none.
    const held = this.lists.recent(-Infinity);
    assert.equal(held.length - 1, count);
  },
);

Given('lists that count how often they are read', function (this: WarmUpWorld) {
  this.countedLists = new CountingLists();
  const entry = {name: 'e', zone: 'a-1', region: 'a', isAnnounced: true};
  this.countedLists.apply([entry], 0);
});

When(
  'the shares of limits {int} and {int} are asked for in turn, {int} times',
  function (this: WarmUpWorld, one: number, other: number, times: number) {
    const division = new WarmUpDivision({
      upstream: 'u',
      zone: 'a-1',
      region: 'a',
      entry: 'e',
    });
    for (let index = 0; index < times; index++) {
      division.ownPerSecond(one, this.countedLists, 0);
      division.ownPerSecond(other, this.countedLists, 0);
    }
  },
);

Then(
  'the lists were read {int} times',
  function (this: WarmUpWorld, times: number) {
    assert.equal(this.countedLists.reads, times);
  },
);

function createUpstream(world: WarmUpWorld, leftMs: number): void {
  world.nowMs = SECOND_MS;
  world.doubtedAtMs = world.nowMs;
  world.service = new ServiceWarmUp();
  world.service.configuration = {
    durationMs: DURATION_MS,
    requestsPerSecond: 2,
  };
  world.warmUp = new WarmUp(world.service);
  world.warmUp.onRecord(leftMs, world.nowMs);
}

function assertWorstSecond({simulation}: WarmUpWorld, rate: number): void {
  const allowed = rate * OVERSHOOT + SLACK;
  const {worstSecond} = simulation;
  assert.ok(worstSecond > 0, 'nothing was sent');
  assert.ok(worstSecond <= allowed, `${worstSecond} of ${allowed}`);
}
