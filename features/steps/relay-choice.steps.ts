/** Steps for the choice of entries through which requests are relayed, in simulated time. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  RelayChoice,
  SeededRandom,
  type Distance,
  type RelayCandidate,
} from '@wasabidyke/policy';
import {SECOND_MS} from '@wasabidyke/shared';

interface SimulatedEntry {
  readonly name: string;
  readonly zone: number;
  readonly isCut: boolean;
  readonly choice: RelayChoice;
  candidates: readonly RelayCandidate[];
  /** Requests that others relayed to it. */
  taken: number;
}

interface RelayWorld {
  entries: SimulatedEntry[];
  requests: number;
  /** Requests after the first second, and those of them that were served. */
  counted: number;
  served: number;
  relays: number;
  forMs: number;
}

const SERVICE = 'shop';
const ZONES = 6;
const ZONES_PER_REGION = 2;

/** Entries that one request is relayed to at most, as in the balancer. */
const MAXIMUM_RELAYS = 4;

/** Work of a request, in milliseconds. */
const WORK_MS = 60;

Given(
  '{int} entries in 6 availability zones of 3 regions, of which {int} are cut off, {}',
  function (this: RelayWorld, count: number, cut: number, place: string) {
    const random = new SeededRandom(count + cut);
    const zoneOf = (index: number) =>
      place === 'spread' ? index % ZONES : Math.floor((index * ZONES) / count);
    this.entries = Array.from({length: count}, (_, index) => ({
      name: `entry-${index}`,
      zone: zoneOf(index),
      isCut: index < cut,
      choice: new RelayChoice(random),
      candidates: [],
      taken: 0,
    }));
    for (const entry of this.entries) {
      entry.candidates = this.entries
        .filter(other => other !== entry)
        .map(({name, zone}) => ({
          name,
          distance: toDistance(entry.zone, zone),
        }));
    }
  },
);

When(
  'each of the cut ones gets {int} requests a second for {int} s',
  function (this: RelayWorld, perSecond: number, seconds: number) {
    this.requests = 0;
    this.counted = 0;
    this.served = 0;
    this.relays = 0;
    this.forMs = seconds * SECOND_MS;
    const ends: Array<{readonly atMs: number; readonly end: () => void}> = [];
    for (let nowMs = 0; nowMs < this.forMs; nowMs += SECOND_MS / perSecond) {
      while (ends.length > 0 && ends[0].atMs <= nowMs) {
        ends.shift()?.end();
      }
      for (const entry of this.entries.filter(({isCut}) => isCut)) {
        this.requests += 1;
        const by = relay(this, entry, nowMs);
        if (by !== undefined) {
          const end = () => entry.choice.onEnd(by, undefined);
          ends.push({atMs: nowMs + WORK_MS, end});
        }
        if (nowMs >= SECOND_MS) {
          this.counted += 1;
          this.served += Number(by !== undefined);
        }
      }
    }
  },
);

Then(
  'at least {int} of 100 requests after the first second were served',
  function (this: RelayWorld, percent: number) {
    assert.ok(
      this.served * 100 >= percent * this.counted,
      `${this.served} of ${this.counted}`,
    );
  },
);

Then(
  'a request was relayed {float} times at most on average',
  function (this: RelayWorld, limit: number) {
    const average = this.relays / this.requests;
    assert.ok(average <= limit, `${average}`);
  },
);

Then(
  'no other entry got more than {int} times its share',
  function (this: RelayWorld, factor: number) {
    const sound = this.entries.filter(({isCut}) => !isCut);
    const takenMost = Math.max(...sound.map(({taken}) => taken));
    const share = this.requests / sound.length;
    assert.ok(takenMost <= factor * share, `${takenMost} of ${share}`);
  },
);

Then(
  'each entry relayed at most {int} requests a second',
  function (this: RelayWorld, limit: number) {
    const seconds = this.forMs / SECOND_MS;
    const rate = this.relays / this.entries.length / seconds;
    assert.ok(rate <= limit, `${rate}`);
  },
);

/** Relays one request; returns the name of the entry that served it. */
function relay(
  world: RelayWorld,
  {choice, candidates}: SimulatedEntry,
  nowMs: number,
): string | undefined {
  const tried = new Set<string>();
  while (tried.size < MAXIMUM_RELAYS) {
    const chosen = choice.choose(SERVICE, candidates, tried, nowMs);
    if (chosen === undefined) {
      return undefined;
    }
    tried.add(chosen.name);
    world.relays += 1;
    choice.onStart(chosen.name);
    const taker = world.entries.find(({name}) => name === chosen.name);
    assert.ok(taker);
    taker.taken += 1;
    if (!taker.isCut) {
      choice.onServed(SERVICE, chosen.name);
      return chosen.name;
    }
    choice.onEnd(chosen.name, undefined);
    choice.onFailed(SERVICE, chosen, nowMs);
  }
  return undefined;
}

function toDistance(from: number, to: number): Distance {
  if (from === to) {
    return 'same-zone';
  }
  const region = (zone: number) => Math.floor(zone / ZONES_PER_REGION);
  return region(from) === region(to) ? 'same-region' : 'other-region';
}
