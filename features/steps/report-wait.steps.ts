/** Steps for the wait for load reports. */

import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {reportWaitMs, RoundTripEstimate} from '@wasabidyke/policy';

interface ReportWaitWorld {
  roundTripMs: number;
  hasReports: boolean;
}

/** Round trip that is assumed before the first answers, in milliseconds. */
const ASSUMED_MS = 2.5;

const ANSWERS = 40;

Given(
  'answers of upstreams that take {float} ms',
  function (this: ReportWaitWorld, durationMs: number) {
    const estimate = new RoundTripEstimate(ASSUMED_MS);
    for (let count = 0; count < ANSWERS; count++) {
      estimate.onAnswer(durationMs);
    }
    this.roundTripMs = estimate.roundTripMs;
    this.hasReports = true;
  },
);

Given(
  'answers of upstreams that take {float} ms, two thirds of them {float} ms longer',
  function (this: ReportWaitWorld, durationMs: number, delayMs: number) {
    const estimate = new RoundTripEstimate(ASSUMED_MS);
    for (let count = 0; count < ANSWERS; count++) {
      const isDelayed = count % 3 !== 0;
      estimate.onAnswer(durationMs + (isDelayed ? delayMs : 0));
    }
    this.roundTripMs = estimate.roundTripMs;
    this.hasReports = true;
  },
);

Given(
  'no upstream has reported its load yet',
  function (this: ReportWaitWorld) {
    this.hasReports = false;
  },
);

Then(
  'the wait for load reports is between {float} and {float} ms',
  function (this: ReportWaitWorld, leastMs: number, mostMs: number) {
    const waitMs = reportWaitMs(this);
    assert.ok(waitMs >= leastMs && waitMs <= mostMs, `${waitMs} ms`);
  },
);
