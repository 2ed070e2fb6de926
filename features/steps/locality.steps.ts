/** Steps for locality. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  LocalityFilter,
  SeededRandom,
  UpstreamLoad,
  type Distance,
} from '@wasabidyke/policy';
import {createUpstream} from './selection.steps.js';

/** Time between two requests, in milliseconds. */
const STEP_MS = 2;

/** Slots of a test upstream times a number that makes percentages whole. */
const UPSTREAMS_PER_DISTANCE = 5;

class LocalityWorld {
  readonly filter = new LocalityFilter(new SeededRandom(7));
  readonly loads: UpstreamLoad[] = [];
  readonly shares: number[] = [];
  nowMs = 100_000;
  recent: Distance[] = [];

  addUpstreams(distance: Distance): void {
    for (let index = 0; index < UPSTREAMS_PER_DISTANCE; index += 1) {
      const upstream = createUpstream(`${distance}-${index}`);
      this.loads.push(new UpstreamLoad(upstream, distance));
    }
  }

  report(distance: Distance, percent: number): void {
    for (const load of this.loads) {
      if (load.distance === distance) {
        const requests = (load.upstream.slots * percent) / 100;
        load.onReport({requests, madeAtMs: this.nowMs});
      }
    }
  }

  run(milliseconds: number, percent: number, beyondPercent = 0): void {
    this.recent = [];
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
      this.nowMs += STEP_MS;
      this.report('same-zone', percent);
      this.report('same-region', beyondPercent);
      this.report('other-region', beyondPercent);
      const chosen = this.filter.filter(this.loads, this.nowMs);
      this.recent.push(chosen[0].distance);
      this.shares.push(this.filter.spillShareOf('same-zone'));
    }
  }

  leavingPercent(): number {
    const last = this.recent.slice(-500);
    const left = last.filter(distance => distance !== 'same-zone');
    return (100 * left.length) / last.length;
  }
}

interface World {
  locality: LocalityWorld;
  beyondPercent: number;
}

Given('upstreams at each distance', function (this: World) {
  this.locality = new LocalityWorld();
  this.beyondPercent = 0;
  this.locality.addUpstreams('same-zone');
  this.locality.addUpstreams('same-region');
  this.locality.addUpstreams('other-region');
});

Given(
  'upstreams at each distance, those outside the zone full',
  function (this: World) {
    this.locality = new LocalityWorld();
    this.beyondPercent = 100;
    this.locality.addUpstreams('same-zone');
    this.locality.addUpstreams('same-region');
    this.locality.addUpstreams('other-region');
    this.locality.run(5_000, 50, this.beyondPercent);
  },
);

Given('upstreams in the region and beyond', function (this: World) {
  this.locality = new LocalityWorld();
  this.beyondPercent = 0;
  this.locality.addUpstreams('same-region');
  this.locality.addUpstreams('other-region');
});

When(
  'the zone is {int} % used for {int} second(s)',
  function (this: World, percent: number, seconds: number) {
    this.locality.run(seconds * 1_000, percent, this.beyondPercent);
  },
);

When(
  'the zone alternates each {int} ms between {int} % and {int} % for {int} seconds',
  function (
    this: World,
    periodMs: number,
    high: number,
    low: number,
    seconds: number,
  ) {
    const periods = (seconds * 1_000) / periodMs;
    for (let period = 0; period < periods; period += 1) {
      this.locality.run(periodMs, period % 2 === 0 ? high : low);
    }
  },
);

Then('no requests leave the zone', function (this: World) {
  assert.equal(this.locality.leavingPercent(), 0);
});

Then('all requests stay in the region', function (this: World) {
  assert.ok(this.locality.recent.every(distance => distance === 'same-region'));
});

Then(
  'over {int} % of requests leave the zone',
  function (this: World, percent: number) {
    assert.ok(this.locality.leavingPercent() > percent);
  },
);

Then(
  'the share that leaves the zone has not changed in the last {int} seconds',
  function (this: World, seconds: number) {
    const steps = (seconds * 1_000) / STEP_MS;
    const last = this.locality.shares.slice(-steps);
    assert.ok(last.every(share => share === last[0] && share > 0));
  },
);

Then(
  'the share that leaves the zone turned at most {int} times',
  function (this: World, most: number) {
    const {shares} = this.locality;
    const changes = shares
      .map((share, index) => Math.sign(share - (shares[index - 1] ?? share)))
      .filter(sign => sign !== 0);
    const turns = changes.filter(
      (sign, index) => index > 0 && sign !== changes[index - 1],
    );
    assert.ok(turns.length <= most, `${turns.length} turns`);
  },
);
