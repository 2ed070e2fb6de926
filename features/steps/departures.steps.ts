/** Steps for departures of upstreams and announcements that are read after them. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {UpstreamRoster, type UpstreamRecord} from '@wasabidyke/balancer';

interface DeparturesWorld {
  roster: UpstreamRoster;
  /** Addresses of the upstreams in use, by id. */
  inUse: Map<string, string>;
  nowMs: number;
}

const SECOND_MS = 1_000;
const ADDRESS = '10.0.0.1:80';

function announcement(
  id: string,
  start: string,
  address: string,
  state: string,
  sequence: number,
): UpstreamRecord {
  return {
    id,
    startedAtEpochMs: start === 'no start' ? undefined : Number(start),
    sequence,
    service: 'shop',
    address,
    zone: 'home-a',
    slots: 4,
    isDraining: state === 'draining',
    warmUpLeftMs: 0,
  };
}

Given('a roster of upstreams', function (this: DeparturesWorld) {
  this.inUse = new Map();
  this.nowMs = 0;
  this.roster = new UpstreamRoster({
    onJoined: ({id, address}) => this.inUse.set(id, address),
    onChanged: () => {},
    onLeaving: ({id}) => this.inUse.delete(id),
    onOutdated: () => {},
  });
});

When(
  /^"(.+)" of (?:start )?(\d+|no start)(?: at "(.+)")? announces "(.+)" as number (\d+)$/,
  function (
    this: DeparturesWorld,
    id: string,
    start: string,
    address: string | null,
    state: string,
    sequence: string,
  ) {
    this.roster.onRecord(
      announcement(id, start, address ?? ADDRESS, state, Number(sequence)),
      this.nowMs,
    );
  },
);

When(
  'the record of {string} is deleted',
  function (this: DeparturesWorld, id: string) {
    this.roster.onVanished(id, this.nowMs, false);
  },
);

When(
  'the record of {string} lapses while the store is away',
  function (this: DeparturesWorld, id: string) {
    this.roster.onVanished(id, this.nowMs, true);
  },
);

When(
  "the record of {string} can't be read",
  function (this: DeparturesWorld, id: string) {
    this.roster.onUnreadable(id, this.nowMs);
  },
);

When(
  'the roster is told that {int} s have passed',
  function (this: DeparturesWorld, seconds: number) {
    this.nowMs += seconds * SECOND_MS;
    this.roster.onTick(this.nowMs);
  },
);

When(
  '{int} upstreams announce themselves and leave',
  function (this: DeparturesWorld, count: number) {
    for (let index = 0; index < count; index++) {
      const id = `w${index}`;
      const record = announcement(id, '100', ADDRESS, 'ready', 1);
      this.roster.onRecord(record, this.nowMs);
      this.roster.onVanished(id, this.nowMs, false);
    }
  },
);

Then(
  /^"(\w+)" is (in use|not in use)$/,
  function (this: DeparturesWorld, id: string, state: string) {
    assert.equal(this.inUse.has(id), state === 'in use');
  },
);

Then(
  '{string} is in use at {string}',
  function (this: DeparturesWorld, id: string, address: string) {
    assert.equal(this.inUse.get(id), address);
  },
);

Then(
  'at most {int} departures are remembered',
  function (this: DeparturesWorld, most: number) {
    assert.ok(this.roster.rememberedDepartures <= most);
  },
);
