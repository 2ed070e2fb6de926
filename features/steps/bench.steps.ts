/** Steps for the load tool and the figures of experiments. */

import assert from 'node:assert/strict';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {
  checkTargets,
  createArrivals,
  LatencyRecord,
  toCellFigures,
  type ArmName,
  type ArmResult,
  type ArrivalPattern,
  type CellFigures,
} from '@wasabidyke/bench';
import {SeededRandom} from '@wasabidyke/policy';
import {SECOND_MS} from '@wasabidyke/shared';

/** Lateness above which a round is disturbed, in milliseconds. */
const DISTURBED_LATENESS_MS = 25;

/** Latency of every request of the made-up results, in milliseconds. */
const LATENCY_MS = 100;

interface BenchWorld {
  pattern: ArrivalPattern;
  ratePerSecond: number;
  seed: number;
  seconds: number;
  times: number[];
  results: ArmResult[];
  figures: CellFigures;
}

function listArrivals(world: BenchWorld): number[] {
  const {pattern, ratePerSecond, seed, seconds} = world;
  const random = new SeededRandom(seed);
  const arrivals = createArrivals(pattern, random, ratePerSecond);
  const times: number[] = [];
  let timeMs = arrivals.nextMs();
  while (timeMs < seconds * SECOND_MS) {
    times.push(timeMs);
    timeMs = arrivals.nextMs();
  }
  return times;
}

function encode(valueMs: number): string {
  const record = new LatencyRecord();
  record.record(valueMs);
  return record.encode();
}

Given(
  /^(poisson|bursty) arrivals at (\d+) requests a second with seed (\d+)$/,
  function (
    this: BenchWorld,
    pattern: ArrivalPattern,
    ratePerSecond: string,
    seed: string,
  ) {
    this.pattern = pattern;
    this.ratePerSecond = Number(ratePerSecond);
    this.seed = Number(seed);
  },
);

Given(
  'arms whose rounds were late by',
  function (this: BenchWorld, table: DataTable) {
    this.results = table.raw().map(([arm, ...lateness]) => ({
      arm: arm as ArmName,
      result: {
        rounds: lateness.map(value => ({
          answered: 1,
          refused: 0,
          failed: 0,
          latency: encode(LATENCY_MS),
          lateness: encode(Number(value)),
        })),
      },
    }));
  },
);

When('{int} seconds pass', function (this: BenchWorld, seconds: number) {
  this.seconds = seconds;
  this.times = listArrivals(this);
});

When('the figures are worked out', function (this: BenchWorld) {
  const cell = {
    deployment: 'blue-mahoe',
    loadPercent: 75,
    noisiness: 'noisy',
    reportLagMs: 50,
  } as const;
  this.figures = toCellFigures(cell, 1, this.results, DISTURBED_LATENESS_MS);
});

Then(
  'the rate was within {int} % of what was stated',
  function (this: BenchWorld, percent: number) {
    const expected = this.ratePerSecond * this.seconds;
    const difference = Math.abs(this.times.length - expected);
    assert.ok(difference / expected < percent / 100, `${this.times.length}`);
  },
);

Then('drawing them again gives the same', function (this: BenchWorld) {
  assert.deepEqual(listArrivals(this), this.times);
});

Then(
  'the disturbed rounds are {int}',
  function (this: BenchWorld, number: number) {
    assert.deepEqual(this.figures.disturbedRounds, [number]);
  },
);

Then('each arm has {int} rounds', function (this: BenchWorld, count: number) {
  for (const arm of this.figures.arms) {
    assert.equal(arm.rounds.length, count);
  }
});

Then(
  /^the targets of hot-cold are (not )?judged$/,
  function (this: BenchWorld, negation: string | null) {
    const targets = checkTargets([this.figures], 'hot-cold');
    assert.equal(targets.length, 2);
    const isNotJudged = targets.every(({verdict}) => verdict === 'not judged');
    assert.equal(isNotJudged, negation !== null);
  },
);
