/** Steps for quotas of accounts, without a network. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  AccountGranting,
  DEFAULT_QUOTA_TOLERANCE,
  GrantingEntryChoice,
  grantingPart,
  quotaBound,
  quotaPerWindow,
  QuotaReserve,
  repeatReserve,
  SeededRandom,
  type GrantingScope,
  type Quota,
  type QuotaGrant,
} from '@wasabidyke/policy';
import type {QuotaFault, QuotaResult} from '../support/quota-run.js';
import {QuotaSimulation} from '../support/quota-simulation.js';

interface QuotaWorld {
  result: QuotaResult;
  granting: AccountGranting;
  quota: Quota;
  scope: GrantingScope;
  /** Answers that didn't grant all. */
  refusals: QuotaGrant[];
  nowMs: number;
  /** Requests that passed, by step of `STEP_MS`. */
  passed: number[];
}

const SEED = 7;
const STEP_MS = 100;
const SECOND_MS = 1_000;
const ALONE = {otherRegions: [], part: 1};
const WITH_FAR = {otherRegions: ['far'], part: 1};

When(
  'quotas are simulated with {int} entries and {string}',
  {timeout: 60_000},
  function (this: QuotaWorld, entries: number, fault: QuotaFault) {
    const run = {entries, fault, design: 'shares', seed: SEED} as const;
    this.result = new QuotaSimulation(run).run();
  },
);

Then('no account exceeds its bound in any window', function (this: QuotaWorld) {
  assert.ok(this.result.worstPart <= 1, `${this.result.worstPart}`);
});

Then(
  'at most {int} in 1000 requests within the quota are refused',
  function (this: QuotaWorld, limit: number) {
    const {refused, within} = this.result;
    assert.ok(refused * 1_000 <= limit * within, `${refused} of ${within}`);
  },
);

Then(
  'at most {int} messages per second are sent, {int} of them between regions',
  function (this: QuotaWorld, limit: number, crossLimit: number) {
    const {messagesPerSecond, crossRegionPerSecond} = this.result;
    assert.ok(messagesPerSecond <= limit, `${messagesPerSecond}`);
    assert.ok(crossRegionPerSecond <= crossLimit, `${crossRegionPerSecond}`);
  },
);

When(
  '{int} entries use the reserve of a quota of {int} requests per second for {int} s',
  function (this: QuotaWorld, entries: number, rate: number, seconds: number) {
    const random = new SeededRandom(SEED);
    this.quota = {requestsPerSecond: rate, burst: rate};
    const reserves = Array.from(
      {length: entries},
      () => new QuotaReserve(DEFAULT_QUOTA_TOLERANCE, random),
    );
    this.passed = [];
    for (let nowMs = 0; nowMs < seconds * SECOND_MS; nowMs += STEP_MS) {
      const taken = reserves.filter(reserve =>
        reserve.take(this.quota, entries, nowMs),
      );
      this.passed.push(taken.length);
    }
  },
);

Then(
  'they pass at most half of the tolerance in any window',
  function (this: QuotaWorld) {
    const {windowMs} = DEFAULT_QUOTA_TOLERANCE;
    const tolerated =
      quotaBound(this.quota, DEFAULT_QUOTA_TOLERANCE) -
      quotaPerWindow(this.quota, DEFAULT_QUOTA_TOLERANCE);
    const steps = windowMs / STEP_MS;
    for (let start = 0; start < this.passed.length; start++) {
      const sum = total(this.passed.slice(start, start + steps));
      assert.ok(sum <= tolerated / 2, `${sum} of ${tolerated}`);
    }
  },
);

When(
  '{int} entries use the reserve of a quota of {int} requests per second for {int} s with neither overshoot nor slack',
  function (this: QuotaWorld, entries: number, rate: number, seconds: number) {
    const tolerance = {...DEFAULT_QUOTA_TOLERANCE, overshoot: 0, slack: 0};
    this.quota = {requestsPerSecond: rate, burst: rate};
    // A draw of 0 starts the period at once.
    const reserve = new QuotaReserve(tolerance, {nextBelow: () => 0});
    this.passed = [];
    for (let nowMs = 0; nowMs < seconds * SECOND_MS; nowMs += STEP_MS) {
      this.passed.push(reserve.take(this.quota, entries, nowMs) ? 1 : 0);
    }
  },
);

Then('they pass none', function (this: QuotaWorld) {
  assert.equal(total(this.passed), 0);
});

Then(
  'a budget without repeats keeps a share of 0, whether attempts fail or not',
  () => {
    for (const failureShare of [0, 0.5, 1]) {
      const options = {moreUrgentShare: 0.5, failureShare, isLate: false};
      assert.equal(repeatReserve({...options, ratio: 0}), 0);
    }
  },
);

Then('they pass some', function (this: QuotaWorld) {
  assert.ok(total(this.passed) > 0);
});

Given(
  'a granting entry of a quota of {int} requests per second with a burst of {int}',
  function (this: QuotaWorld, requestsPerSecond: number, burst: number) {
    this.granting = new AccountGranting(DEFAULT_QUOTA_TOLERANCE, 0);
    this.quota = {requestsPerSecond, burst};
    this.granting.ask(1, this.quota, ALONE, 0);
    this.granting.takeNews(this.quota, [], 0);
    this.granting.demand.onAllAnswered(0);
    this.granting.ask(1, this.quota, ALONE, 20 * SECOND_MS);
  },
);

When(
  'the quota is lowered to {int} with a burst of {int}',
  function (this: QuotaWorld, requestsPerSecond: number, burst: number) {
    this.quota = {requestsPerSecond, burst};
  },
);

Then(
  'at most {int} requests are granted in the next {int} ms',
  function (this: QuotaWorld, limit: number, forMs: number) {
    let granted = 0;
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += STEP_MS) {
      const nowMs = 20 * SECOND_MS + elapsedMs;
      granted += this.granting.ask(100, this.quota, ALONE, nowMs).granted;
    }
    assert.ok(granted <= limit, `${granted}`);
  },
);

Given(
  'a granting entry that was told {int} of {int} requests per second by another region',
  function (this: QuotaWorld, told: number, requestsPerSecond: number) {
    this.granting = new AccountGranting(DEFAULT_QUOTA_TOLERANCE, 0);
    this.quota = {requestsPerSecond, burst: 0};
    this.scope = WITH_FAR;
    this.granting.demand.onHeard('far', told);
  },
);

Given(
  /^a granting entry of a quota of (\d+) requests per second with another region that (told nothing|uses all)$/,
  function (this: QuotaWorld, rate: string, told: string) {
    this.granting = new AccountGranting(DEFAULT_QUOTA_TOLERANCE, 0);
    this.quota = {requestsPerSecond: Number(rate), burst: 0};
    this.scope = WITH_FAR;
    if (told === 'uses all') {
      this.granting.demand.onHeard('far', Number(rate));
    }
  },
);

Given(
  "a granting entry of a quota of {int} requests per second that may grant none of its region's share",
  function (this: QuotaWorld, requestsPerSecond: number) {
    this.granting = new AccountGranting(DEFAULT_QUOTA_TOLERANCE, 0);
    this.quota = {requestsPerSecond, burst: 0};
    this.scope = {...WITH_FAR, part: 0};
  },
);

When("it may grant all of its region's share", function (this: QuotaWorld) {
  this.scope = WITH_FAR;
});

When(
  'it is asked for {int} requests per second for {int} s',
  function (this: QuotaWorld, perSecond: number, seconds: number) {
    const count = (perSecond * STEP_MS) / SECOND_MS;
    const startMs = this.nowMs ?? 0;
    const endMs = startMs + seconds * SECOND_MS;
    this.refusals ??= [];
    for (let nowMs = startMs; nowMs < endMs; nowMs += STEP_MS) {
      const grant = this.granting.ask(count, this.quota, this.scope, nowMs);
      if (grant.granted < count) {
        this.refusals.push(grant);
      }
      // The other region gets no message, so that a higher demand is never applied.
      this.granting.takeNews(this.quota, this.scope.otherRegions, nowMs);
    }
    this.nowMs = endMs;
  },
);

Then(
  'it may grant at most {int} requests per second',
  function (this: QuotaWorld, limit: number) {
    assert.ok(this.granting.perSecond <= limit, `${this.granting.perSecond}`);
  },
);

Then(
  'it may grant at least {int} requests per second',
  function (this: QuotaWorld, limit: number) {
    assert.ok(this.granting.perSecond >= limit, `${this.granting.perSecond}`);
  },
);

Then(
  'each answer that was refused has a time to come back of {int} to {int} ms',
  function (this: QuotaWorld, shortestMs: number, longestMs: number) {
    assert.ok(this.refusals.length > 0);
    for (const {comeBackMs} of this.refusals) {
      const isWithin = comeBackMs >= shortestMs && comeBackMs <= longestMs;
      assert.ok(isWithin, `${comeBackMs}`);
    }
  },
);

Then(
  '{int} entries in any two groups grant at most their share',
  (entries: number) => {
    for (let up = 0; up <= entries; up++) {
      const sum =
        grantingPart(up, entries) + grantingPart(entries - up, entries);
      assert.ok(sum <= 1, `${up}: ${sum}`);
    }
  },
);

Then(
  'losing one of {int} entries moves no account of another one',
  (count: number) => {
    const entries = Array.from({length: count}, (_, index) => `entry-${index}`);
    const choice = new GrantingEntryChoice();
    const others = new GrantingEntryChoice();
    choice.applyEntries(entries);
    others.applyEntries(entries.slice(1));
    for (let account = 0; account < 200; account++) {
      const [chosen, next] = choice.choose(`account-${account}`);
      const expected = chosen === entries[0] ? next : chosen;
      assert.equal(others.choose(`account-${account}`)[0], expected);
    }
  },
);

function total(numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0);
}
