/** Steps for entries that check each other in simulated time. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {SeededRandom} from '@wasabidyke/policy';
import {
  LivenessSimulation,
  type SimulatedEntry,
} from '../support/liveness-simulation.js';

interface LivenessWorld {
  simulation: LivenessSimulation;
}

/** Time before anything happens, in milliseconds, and the step in which results are looked for. */
const WARM_UP_MS = 3_000;
const STEP_MS = 100;

Given(
  '{int} entries in {int} availability zones of {int} regions',
  function (
    this: LivenessWorld,
    entries: number,
    zones: number,
    regions: number,
  ) {
    const members = Array.from({length: entries}, (_, index) => {
      const region = `region-${(index % regions) + 1}`;
      const letter = String.fromCharCode(
        97 + (Math.floor(index / regions) % (zones / regions)),
      );
      return {
        name: `entry-${index + 1}`,
        region,
        zone: `${region}-${letter}`,
        sequence: 1,
      };
    });
    this.simulation = new LivenessSimulation(members);
    this.simulation.advance(WARM_UP_MS);
  },
);

When(
  '{int} of them go off, drawn with seed {int}',
  function (this: LivenessWorld, count: number, seed: number) {
    const random = new SeededRandom(seed);
    const remaining = [...this.simulation.entries];
    for (let lost = 0; lost < count; lost++) {
      const [entry] = remaining.splice(random.nextBelow(remaining.length), 1);
      entry.isOff = true;
    }
  },
);

When('zone {string} goes off', function (this: LivenessWorld, zone: string) {
  for (const entry of this.simulation.entries) {
    entry.isOff ||= entry.member.zone === zone;
  }
});

When(
  'region {string} is cut off for {int} ms',
  function (this: LivenessWorld, region: string, forMs: number) {
    const isInside = ({member}: SimulatedEntry) => member.region === region;
    this.simulation.isLinked = (from, to) => isInside(from) === isInside(to);
    this.simulation.advance(forMs);
  },
);

When(
  'entry {string} is cut off for {int} ms',
  function (this: LivenessWorld, name: string, forMs: number) {
    const isIt = ({member}: SimulatedEntry) => member.name === name;
    this.simulation.isLinked = (from, to) => !isIt(from) && !isIt(to);
    this.simulation.advance(forMs);
    const others = this.simulation.entries.filter(entry => !isIt(entry));
    assert.ok(others.every(({tracker}) => tracker.isDown(name)));
    this.simulation.isLinked = () => true;
  },
);

When(
  "entry {string} can't reach the next one for {int} ms",
  function (this: LivenessWorld, name: string, forMs: number) {
    const entry = this.simulation.entries.find(
      ({member}) => member.name === name,
    );
    const [next] = entry?.tracker.selectTargets() ?? [];
    this.simulation.isLinked = (from, to) =>
      from !== entry || to.member.name !== next;
    this.simulation.advance(forMs);
  },
);

When('{int} ms go by', function (this: LivenessWorld, forMs: number) {
  this.simulation.advance(forMs);
});

Then(
  'the others know it after at most {int} ms',
  function (this: LivenessWorld, limitMs: number) {
    const {simulation} = this;
    const lost = simulation.entries.filter(({isOff}) => isOff);
    const others = simulation.entries.filter(({isOff}) => !isOff);
    const unknown = () =>
      others.flatMap(({member, tracker}) =>
        lost
          .filter(entry => !tracker.isDown(entry.member.name))
          .map(entry => `${member.name} of ${entry.member.name}`),
      );
    const endMs = simulation.nowMs + limitMs;
    while (unknown().length > 0 && simulation.nowMs < endMs) {
      simulation.advance(STEP_MS);
    }
    assert.deepEqual(unknown().slice(0, 5), []);
  },
);

Then('none believes that another one is down', function (this: LivenessWorld) {
  assert.deepEqual(findWronglyDown(this.simulation.entries), []);
});

Then(
  'no entry of {string} believes that another one is down',
  function (this: LivenessWorld, region: string) {
    const inside = this.simulation.entries.filter(
      ({member}) => member.region === region,
    );
    const names = this.simulation.entries.map(({member}) => member.name);
    const down = inside.flatMap(({tracker}) =>
      names.filter(name => tracker.isDown(name)),
    );
    assert.deepEqual(down, []);
  },
);

Then(
  'no entry sent more than {int} messages',
  function (this: LivenessWorld, limit: number) {
    const most = Math.max(...this.simulation.entries.map(({sent}) => sent));
    assert.ok(most <= limit, `${most} messages`);
  },
);

/** Pairs of a running entry and another running one that it takes for down. */
function findWronglyDown(entries: readonly SimulatedEntry[]): string[] {
  const running = entries.filter(({isOff}) => !isOff);
  return running.flatMap(({member, tracker}) =>
    running
      .filter(other => tracker.isDown(other.member.name))
      .map(other => `${other.member.name} at ${member.name}`),
  );
}
