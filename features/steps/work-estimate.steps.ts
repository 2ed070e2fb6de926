/** Steps for the estimate of how long upstreams work on the requests of a route. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {WorkEstimate} from '@wasabidyke/policy';
import type {BalancerSite, CallerAnswer} from '../support/balancer-site.js';

/** Simulated time, in milliseconds, and answers that make an estimate settle. */
const SIMULATED_MS = 10_000;
const SETTLING_ANSWERS = 100;

interface EstimateWorld {
  balancerSite: BalancerSite;
  estimate: WorkEstimate;
  /** When requests were sent in simulated time, and which of them against the estimate, in milliseconds. */
  sentAtMs: number[];
  triedAtMs: number[];
}

Given(
  '{int} look-ups are sent at once',
  async function (this: EstimateWorld, count: number) {
    await sendLookUps(this.balancerSite, count);
  },
);

Then(
  '{int} of {int} look-ups are served',
  async function (this: EstimateWorld, served: number, count: number) {
    const answers: CallerAnswer[] = [];
    for (let sent = 0; sent < count; sent++) {
      answers.push(...(await sendLookUps(this.balancerSite, 1)));
    }
    const found = answers.filter(({status}) => status === 200).length;
    assert.equal(found, served);
  },
);

Given(
  'an estimate of {int} ms of the work of a route',
  function (this: EstimateWorld, workMs: number) {
    this.estimate = new WorkEstimate(workMs);
    for (let answer = 0; answer < SETTLING_ANSWERS; answer++) {
      this.estimate.onAnswer(workMs, 0);
    }
    this.sentAtMs = [];
    this.triedAtMs = [];
  },
);

When(
  'requests that may wait for {int} ms come every {int} ms and take {int} ms',
  function (
    this: EstimateWorld,
    waitMs: number,
    pauseMs: number,
    workMs: number,
  ) {
    play(this, {waitMs, pauseMs, workMs});
  },
);

When(
  'requests that may wait for {int} ms come every {int} ms and none is answered',
  function (this: EstimateWorld, waitMs: number, pauseMs: number) {
    play(this, {waitMs, pauseMs, workMs: Infinity});
  },
);

Then(
  'they are sent again within {int} seconds',
  function (this: EstimateWorld, seconds: number) {
    const late = this.sentAtMs.filter(atMs => atMs <= seconds * 1_000);
    assert.ok(late.length > this.triedAtMs.length, `${late.length} were sent`);
  },
);

Then(
  'at most {int} were sent against the estimate',
  function (this: EstimateWorld, most: number) {
    assert.ok(this.triedAtMs.length <= most, `${this.triedAtMs.length} were`);
  },
);

Then(
  'at most {int} were sent against the estimate in 10 seconds',
  function (this: EstimateWorld, most: number) {
    const {length} = this.triedAtMs;
    assert.ok(length > 0 && length <= most, `${length} were`);
  },
);

interface Requests {
  readonly waitMs: number;
  readonly pauseMs: number;
  readonly workMs: number;
}

function play(
  {estimate, sentAtMs, triedAtMs}: EstimateWorld,
  {waitMs, pauseMs, workMs}: Requests,
): void {
  for (let nowMs = pauseMs; nowMs <= SIMULATED_MS; nowMs += pauseMs) {
    const isExpected = estimate.workMs <= waitMs;
    if (!isExpected && !estimate.takeTrial(nowMs)) {
      continue;
    }
    sentAtMs.push(nowMs);
    if (!isExpected) {
      triedAtMs.push(nowMs);
    }
    if (workMs < waitMs) {
      estimate.onAnswer(workMs, nowMs + workMs);
    }
  }
}

function sendLookUps(
  site: BalancerSite,
  count: number,
): Promise<CallerAnswer[]> {
  return Promise.all(
    Array.from({length: count}, (_, index) =>
      site.call({path: `/read/${index}`}),
    ),
  );
}
