/** Steps for selection. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {SelectionPolicyName, Upstream} from '@wasabidyke/manifest';
import {
  createSelection,
  parseLoadReport,
  SeededRandom,
  UpstreamLoad,
  type AttemptEnd,
  type LoadReport,
  type Selection,
} from '@wasabidyke/policy';

/** Time at which each scenario begins, in milliseconds. */
const START_MS = 100_000;

interface RunningRequest {
  readonly load: UpstreamLoad;
  readonly startMs: number;
  readonly endMs: number;
}

class SelectionWorld {
  loads: UpstreamLoad[] = [];
  nowMs = START_MS;
  answerMs = 0;
  failing: UpstreamLoad | undefined;
  failureMs = 0;
  running: RunningRequest[] = [];
  selections = new Map<string, Selection>();
  counts = new Map<UpstreamLoad, number>();
  sent = 0;
  report: LoadReport | undefined;

  select(policy: string, seed: number): UpstreamLoad {
    let selection = this.selections.get(policy);
    if (selection === undefined) {
      const random = new SeededRandom(seed);
      selection = createSelection(policy as SelectionPolicyName, random);
      this.selections.set(policy, selection);
    }
    const load = selection.select(this.loads, this.nowMs);
    assert.ok(load !== undefined);
    this.counts.set(load, (this.counts.get(load) ?? 0) + 1);
    this.sent += 1;
    return load;
  }

  begin(load: UpstreamLoad): void {
    load.onStart(this.nowMs);
    const durationMs = load === this.failing ? this.failureMs : this.answerMs;
    const endMs = this.nowMs + durationMs;
    this.running.push({load, startMs: this.nowMs, endMs});
  }

  advance(milliseconds: number): void {
    this.nowMs += milliseconds;
    const ended = this.running.filter(({endMs}) => endMs <= this.nowMs);
    this.running = this.running.filter(({endMs}) => endMs > this.nowMs);
    for (const {load, startMs, endMs} of ended) {
      const end: AttemptEnd = load === this.failing ? 'failed' : 'answered';
      load.onEnd(end, endMs - startMs, endMs);
    }
  }

  shareOf(number: number): number {
    const count = this.counts.get(this.loads[number - 1]) ?? 0;
    return (100 * count) / this.sent;
  }
}

/** An upstream for tests. */
export function createUpstream(name: string): Upstream {
  return {
    name,
    address: '127.0.0.1:1',
    region: 'north',
    zone: 'north-a',
    vm: 'vm-1',
    slots: 4,
    connections: 200,
    leaving: false,
  };
}

interface World {
  selection: SelectionWorld;
}

Given(
  '{int} upstreams that answer in {int} ms',
  function (this: World, count: number, answerMs: number) {
    this.selection = new SelectionWorld();
    this.selection.answerMs = answerMs;
    this.selection.loads = Array.from(
      {length: count},
      (_, index) =>
        new UpstreamLoad(createUpstream(`upstream-${index + 1}`), 'same-zone'),
    );
  },
);

Given(
  'upstream {int} fails in {int} ms',
  function (this: World, number: number, failureMs: number) {
    this.selection.failing = this.selection.loads[number - 1];
    this.selection.failureMs = failureMs;
  },
);

Given('upstream {int} begins its ramp', function (this: World, number: number) {
  this.selection.loads[number - 1].beginRamp(this.selection.nowMs);
});

Given(
  'upstream {int} reported {int} requests and upstream {int} reported {int}, {int} ms ago',
  function (
    this: World,
    first: number,
    firstRequests: number,
    second: number,
    secondRequests: number,
    ageMs: number,
  ) {
    const {loads, nowMs} = this.selection;
    const madeAtMs = nowMs - ageMs;
    loads[first - 1].onReport({requests: firstRequests, madeAtMs});
    loads[second - 1].onReport({requests: secondRequests, madeAtMs});
  },
);

When(
  '{int} requests, {int} ms apart, are sent by {string} with seed {int}',
  function (
    this: World,
    count: number,
    gapMs: number,
    policy: string,
    seed: number,
  ) {
    const {selection} = this;
    selection.counts.clear();
    selection.sent = 0;
    for (let sent = 0; sent < count; sent += 1) {
      selection.begin(selection.select(policy, seed));
      selection.advance(gapMs);
    }
  },
);

When(
  '{int} requests, 0 ms apart, are selected by {string} with seed {int}',
  function (this: World, count: number, policy: string, seed: number) {
    for (let sent = 0; sent < count; sent += 1) {
      this.selection.select(policy, seed);
    }
  },
);

When(
  'upstream {int} reports {int} requests {int} times while it holds {int}',
  function (
    this: World,
    number: number,
    requests: number,
    times: number,
    held: number,
  ) {
    const {selection} = this;
    const load = selection.loads[number - 1];
    for (let started = 0; started < held; started += 1) {
      load.onStart(selection.nowMs);
    }
    for (let reported = 0; reported < times; reported += 1) {
      selection.nowMs += 1;
      load.onReport({requests, madeAtMs: selection.nowMs});
    }
    selection.loads[1].onReport({requests, madeAtMs: selection.nowMs});
  },
);

When('the load header is {string}', function (this: World, header: string) {
  this.selection = new SelectionWorld();
  const value = header.replaceAll("'", '"');
  this.selection.report = parseLoadReport(value, START_MS);
});

Then(
  'the report tells {word} requests',
  function (this: World, requests: string) {
    const told = this.selection.report?.requests;
    assert.equal(told === undefined ? 'no' : String(told), requests);
  },
);

Then(
  'upstream {int} gets under {int} % of the requests',
  function (this: World, number: number, most: number) {
    const share = this.selection.shareOf(number);
    assert.ok(share < most, `got ${share} %`);
  },
);

Then(
  'upstream {int} gets over {int} % of the requests',
  function (this: World, number: number, least: number) {
    const share = this.selection.shareOf(number);
    assert.ok(share > least, `got ${share} %`);
  },
);

Then(
  'upstream {int} gets from {int} to {int} % of the requests',
  function (this: World, number: number, least: number, most: number) {
    const share = this.selection.shareOf(number);
    assert.ok(share >= least && share <= most, `got ${share} %`);
  },
);

Then(
  'upstream {int} is believed less than upstream {int} would be',
  function (this: World, doubted: number, trusted: number) {
    const {loads, nowMs} = this.selection;
    const doubt = loads[doubted - 1].reportWeightAt(nowMs);
    assert.ok(doubt < loads[trusted - 1].reportWeightAt(nowMs) / 4);
  },
);
