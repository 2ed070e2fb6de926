/** Steps for planned stops of entries that are killed after a time. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {z} from 'zod';
import {Site} from '../support/site.js';

interface StopWorld {
  site: Site;
  stopWithinMs: number;
  underWay: Array<Promise<Ended>>;
  ended: readonly Ended[];
  status: number | null;
}

interface Ended {
  readonly status: number;
  readonly outcome: unknown;
  readonly text: string;
}

const SECOND_MS = 1_000;

/** Time for requests to reach their upstreams, in milliseconds. */
const UNDER_WAY_MS = 500;

const PROBLEM_SCHEMA = z.object({reason: z.string()});
const LIST_SCHEMA = z.object({
  entries: z.array(z.object({name: z.string(), home: z.string()})),
});

Given(
  'a site of two entries that are killed {int} seconds after they were told to stop',
  async function (this: StopWorld, seconds: number) {
    this.stopWithinMs = seconds * SECOND_MS;
    this.site = await Site.start(2, {stopWithinSeconds: seconds});
  },
);

When(
  'every upstream answers after {int} ms',
  async function (this: StopWorld, answerLateMs: number) {
    const faults = {answerLateMs};
    await this.site.changeUpstream('shop-1', {faults});
    await this.site.changeUpstream('shop-2', {faults});
  },
);

When(
  'a look-up, an order and an upload are under way at the first entry',
  async function (this: StopWorld) {
    const [entry] = this.site.entries;
    const url = `http://${entry.callers}`;
    const listed = await request(`${url}/v1/entries`);
    const {entries} = LIST_SCHEMA.parse(await listed.body.json());
    const home = entries.find(({name}) => name === entry.name)?.home;
    const key = {'idempotency-key': `${home}:order-1`};
    this.underWay = [
      call(`${url}/shop/cheese`, 'GET'),
      call(`${url}/shop/orders`, 'POST', 'one cheese', key),
      call(`${url}/shop/photo`, 'PUT', 'a photo'),
    ];
    await sleep(UNDER_WAY_MS);
  },
);

When('the first entry is told to stop', async function (this: StopWorld) {
  this.status = await this.site.stopEntry(0, this.stopWithinMs);
  this.ended = await Promise.all(this.underWay);
});

Then(
  'each of them is refused as {string} for {string} in time',
  function (this: StopWorld, outcome: string, reason: string) {
    for (const ended of this.ended) {
      assert.equal(ended.outcome, outcome, ended.text);
      const problem = PROBLEM_SCHEMA.parse(JSON.parse(ended.text));
      assert.equal(problem.reason, reason);
    }
  },
);

Then('each of them is served', function (this: StopWorld) {
  for (const {status, text} of this.ended) {
    assert.equal(status, 200, text);
  }
});

Then('the first entry has ended by itself', function (this: StopWorld) {
  assert.equal(this.status, 0);
});

/** Sends a request; status 0 if its connection was cut. */
async function call(
  url: string,
  method: 'GET' | 'POST' | 'PUT',
  body?: string,
  headers: Record<string, string> = {},
): Promise<Ended> {
  try {
    const answer = await request(url, {method, body, headers});
    const outcome = answer.headers['wasabidyke-outcome'];
    const text = await answer.body.text();
    return {status: answer.statusCode, outcome, text};
  } catch (error) {
    return {status: 0, outcome: undefined, text: String(error)};
  }
}
