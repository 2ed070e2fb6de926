/** Steps for entries that admit requests by value: no network and no clock of their own. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  SeededRandom,
  ValueAdmission,
  type DemandQuery,
} from '@wasabidyke/policy';
import {
  isTimely,
  OverloadSimulation,
  type OverloadOptions,
  type SimulatedRequest,
} from '../support/overload-simulation.js';
import {
  capacityPerSecond,
  type SimulatedKind,
} from '../support/overload-upstream.js';
import {
  LOADS,
  SURGE_FROM_MS,
  SURGE_UNTIL_MS,
  URGENT,
  type Load,
} from '../support/value-loads.js';

const SEED = 7;
const SECOND_MS = 1_000;

/** Runs of one load, where one leaves too much to chance: at a small site, 0.01 of its few hundred urgent requests; between accounts, 0.03 of the difference. */
const SEVERAL_RUNS = 3;

/** Time in which requests are judged: after the start of the overload, and before those that have no time to be answered. */
const JUDGED_FROM_MS = 2 * SECOND_MS;
const JUDGED_UNTIL_MS = 13 * SECOND_MS;
const LENGTH_MS = 14 * SECOND_MS;

class ValueWorld {
  entries = 0;
  load: Load | undefined;
  simulations: OverloadSimulation[] = [];
  admission = new ValueAdmission(new SeededRandom(SEED));
  nowMs = 0;
  returnsMs = new Map<number, number[]>();

  /** Upstreams as on the users' sites of that size. */
  get site() {
    return this.entries >= 312
      ? {upstreams: 36, slots: 4}
      : {upstreams: 24, slots: this.entries >= 100 ? 4 : 2};
  }

  get kinds(): readonly SimulatedKind[] {
    assert.ok(this.load);
    return this.load.kinds;
  }

  get capacity(): number {
    const {upstreams, slots} = this.site;
    return capacityPerSecond({slots, kinds: this.kinds}, upstreams);
  }

  play(name: string): void {
    const load = LOADS.get(name);
    assert.ok(load, `no load "${name}"`);
    this.load = load;
    const {upstreams, slots} = this.site;
    const {capacity} = this;
    const {kinds, factor, extra} = load;
    const last = kinds[kinds.length - 1];
    const accountRate = (atMs: number) =>
      (capacity * factor(atMs) * last.share) / (last.accounts ?? 1);
    const options: OverloadOptions = {
      entries: this.entries,
      upstreams,
      slots,
      kinds,
      rate: atMs => capacity * factor(atMs),
      extraRate: extra && (atMs => accountRate(atMs) * extra(atMs)),
      running: () => upstreams,
      lengthMs: last.accounts ? SURGE_UNTIL_MS + 2 * SECOND_MS : LENGTH_MS,
      manner: 'value',
    };
    const runs = this.entries < 100 || last.accounts ? SEVERAL_RUNS : 1;
    this.simulations = Array.from(
      {length: runs},
      (_, run) => new OverloadSimulation(options, SEED + run),
    );
    this.simulations.forEach(simulation => simulation.run());
  }

  /** The requests that are judged. */
  requests(kind?: SimulatedKind): SimulatedRequest[] {
    const all = this.simulations.flatMap(({requests}) => requests);
    return all.filter(
      request =>
        request.startedAtMs >= JUDGED_FROM_MS &&
        request.startedAtMs < JUDGED_UNTIL_MS &&
        (kind === undefined || request.kind === kind),
    );
  }

  /** Share of the requests in the surge that were answered in time, without those of the account that sends more. */
  othersInTime(): number {
    const [, usual] = this.kinds;
    const asked = this.simulations
      .flatMap(({requests}) => requests)
      .filter(({account}) => account !== `${usual.name}-0`)
      .filter(({startedAtMs}) => startedAtMs >= SURGE_FROM_MS)
      .filter(({startedAtMs}) => startedAtMs < SURGE_UNTIL_MS);
    return asked.filter(isTimely).length / asked.length;
  }

  servedShare(kind?: SimulatedKind): number {
    const asked = this.requests(kind);
    const served = asked.filter(({answeredAtMs}) => answeredAtMs !== undefined);
    return served.length / asked.length;
  }

  /** Credit if the slots of undisturbed upstreams were given to the requests of most value for their work. */
  get attainableCredit(): number {
    const mean = this.kinds.reduce(
      (sum, kind) => sum + kind.share * kind.workMs,
      0,
    );
    const seconds = (JUDGED_UNTIL_MS - JUDGED_FROM_MS) / SECOND_MS;
    let leftMs = this.capacity * mean * seconds * this.simulations.length;
    let credit = 0;
    const density = ({value = 1, workMs}: SimulatedKind) => value / workMs;
    const kinds = [...this.kinds].sort((a, b) => density(b) - density(a));
    for (const kind of kinds) {
      const served = Math.min(this.requests(kind).length, leftMs / kind.workMs);
      leftMs -= served * kind.workMs;
      credit += served * (kind.value ?? 1);
    }
    return credit;
  }

  /** A request before upstreams of which some slots are free. */
  query(priority: number, freeSlots: number, slots: number): DemandQuery {
    return {
      nowMs: this.nowMs,
      priority,
      workMs: 80,
      account: undefined,
      estimateMs: 120,
      freeSlotEstimateMs: 120,
      freeSlots: Math.min(freeSlots, 2),
      slowingSlots: 0,
      targetRemainingMs: 400,
      maximumWaitMs: 50,
      waitedMs: 0,
      considered: {slots, freeSlots},
    };
  }
}

const worlds = new WeakMap<object, ValueWorld>();

function toWorld(key: object): ValueWorld {
  const world = worlds.get(key) ?? new ValueWorld();
  worlds.set(key, world);
  return world;
}

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
    const {simulations} = toWorld(this);
    const shares = simulations.map(simulation =>
      simulation.timelyShare(JUDGED_FROM_MS, JUDGED_UNTIL_MS, URGENT.name),
    );
    const timely = shares.reduce((sum, each) => sum + each, 0) / shares.length;
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
