/** Routes that come, go and come back, routes that are split, and limits that change. */

import type {RandomSource} from '@wasabidyke/policy';
import {
  HOST,
  OTHER_HOST,
  type LimitRecord,
  type RouteRecord,
} from './routes.js';

/** Prefix of a route that comes and goes, and that of one below it. */
export const COMING_PREFIX = '/coming/';
export const DEEP_PREFIX = '/coming/deep/';

/** Prefix of a route that is always there and split, and of one that has a service without weight. */
export const SPLIT_PREFIX = '/split/';
export const WEIGHTLESS_PREFIX = '/weightless/';

/** Sizes that limits are drawn from, in bytes; usual callers keep to the least. */
const HEAD_BYTES = [2_048, 4_096, 8_192];
const BODY_BYTES = [20_000, 50_000, 100_000];

/** The sizes that all configurations allow. */
export const LEAST_LIMITS: LimitRecord = {
  headBytes: Math.min(...HEAD_BYTES),
  bodyBytes: Math.min(...BODY_BYTES),
};

const SERVICES = ['reads', 'writes'];
const LARGEST_WEIGHT = 5;

/** Names and hosts under which the route comes back. */
const COMING_NAMES = ['coming', 'returned'];
const HOSTS = [HOST, OTHER_HOST];

/** What changes from one configuration to the next beside the usual routes. */
export class ChangingRoutes {
  #limits: LimitRecord = {
    headBytes: Math.max(...HEAD_BYTES),
    bodyBytes: Math.max(...BODY_BYTES),
  };
  #split: Readonly<Record<string, number>> = {reads: 3, writes: 1};
  #coming: ReadonlyMap<string, RouteRecord> = new Map();

  get limits(): LimitRecord {
    return this.#limits;
  }

  /** Routes by name. */
  get routes(): ReadonlyMap<string, RouteRecord> {
    return new Map([
      ['split', {host: HOST, prefix: SPLIT_PREFIX, weights: this.#split}],
      [
        'weightless',
        {
          host: HOST,
          prefix: WEIGHTLESS_PREFIX,
          weights: {reads: 1, writes: 0},
        },
      ],
      ...this.#coming,
    ]);
  }

  /** Draws what the next configuration has; each part stays as it is for half of the time. */
  change(random: RandomSource): void {
    const pick = <Value>(values: readonly Value[]) =>
      values[random.nextBelow(values.length)];
    const changes = () => random.nextBelow(2) === 0;
    if (changes()) {
      this.#limits = {headBytes: pick(HEAD_BYTES), bodyBytes: pick(BODY_BYTES)};
    }
    if (changes()) {
      const reads = random.nextBelow(LARGEST_WEIGHT);
      const writes = random.nextBelow(LARGEST_WEIGHT);
      // One of both may be 0, never both.
      this.#split = {reads, writes: reads === 0 ? writes + 1 : writes};
    }
    if (changes()) {
      this.#coming = drawComing(random, pick);
    }
  }
}

/** Draws whether the route and that below it are there, and where. */
function drawComing(
  random: RandomSource,
  pick: <Value>(values: readonly Value[]) => Value,
): ReadonlyMap<string, RouteRecord> {
  const host = pick(HOSTS);
  const routes = [
    {name: pick(COMING_NAMES), prefix: COMING_PREFIX},
    {name: 'deep', prefix: DEEP_PREFIX},
  ];
  return new Map(
    routes
      .filter(() => random.nextBelow(3) > 0)
      .map(({name, prefix}) => [
        name,
        {host, prefix, weights: {[pick(SERVICES)]: 1}},
      ]),
  );
}
