/** Steps for the rests that upstreams ask for. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {RestPeriod, SeededRandom} from '@wasabidyke/policy';

interface RestWorld {
  rest: RestPeriod;
  rests: RestPeriod[];
}

const SEED = 5;

Given(
  /^an upstream that asks for (\S+) ms of rest at (\d+) ms$/,
  function (this: RestWorld, restMs: string, nowMs: string) {
    this.rest = new RestPeriod(new SeededRandom(SEED));
    this.rest.begin(Number(restMs), Number(nowMs));
  },
);

When(
  'it asks for {int} ms of rest at {int} ms',
  function (this: RestWorld, restMs: number, nowMs: number) {
    this.rest.begin(restMs, nowMs);
  },
);

When(
  '{int} entries are asked for {int} ms of rest at {int} ms',
  function (this: RestWorld, count: number, restMs: number, nowMs: number) {
    const random = new SeededRandom(SEED);
    this.rests = Array.from({length: count}, () => {
      const rest = new RestPeriod(random);
      rest.begin(restMs, nowMs);
      return rest;
    });
  },
);

Then('it rests at {int} ms', function (this: RestWorld, nowMs: number) {
  assert.ok(this.rest.isResting(nowMs));
});

Then("it doesn't rest at {int} ms", function (this: RestWorld, nowMs: number) {
  assert.ok(!this.rest.isResting(nowMs));
});

Then(
  'their rests end over more than {int} ms',
  function (this: RestWorld, spreadMs: number) {
    const remaining = this.rests.map(rest => rest.remainingMs(0));
    assert.ok(Math.max(...remaining) - Math.min(...remaining) > spreadMs);
  },
);
