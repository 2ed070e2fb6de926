/** Steps for workers that answer before they have a request whole. */

import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {BalancerSite, CallerAnswer} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import {
  EARLY_BODY,
  EarlyWorker,
  toFraming,
  type EarlyEnding,
} from '../support/early-worker.js';

interface EarlyWorld {
  balancerSite: BalancerSite;
  earlyWorker: EarlyWorker;
  earlyAnswers: CallerAnswer[];
}

/** Deadline of an upload, in milliseconds. */
const UPLOAD_DEADLINE_MS = 5_000;

Given(
  /^a worker that answers at once "([^"]*)" (.*), and then an? (.*)$/,
  async function (
    this: EarlyWorld,
    status: string,
    framing: string,
    ending: EarlyEnding,
  ) {
    const answer = {status, framing: toFraming(framing), ending};
    this.earlyWorker = new EarlyWorker('early', answer);
    await this.earlyWorker.listen();
    this.balancerSite.store.set('servers/early', {
      address: this.earlyWorker.address,
      born: 1,
      info: {service: 'shop', version: 'v1', zone: 'home-a', slots: 4},
      status: {state: 'ready', seq: 1, warmup_left: '0ms'},
    });
    await this.balancerSite.settle();
  },
);

After(function (this: Partial<EarlyWorld>) {
  this.earlyWorker?.close();
});

When(
  '{int} uploads of {int} bytes are sent one after the other',
  async function (this: EarlyWorld, count: number, bytes: number) {
    const body = 'x'.repeat(bytes);
    const deadlineMs = UPLOAD_DEADLINE_MS;
    this.earlyAnswers = [];
    for (let index = 0; index < count; index++) {
      const upload = {path: '/write/a', method: 'POST', body, deadlineMs};
      this.earlyAnswers.push(await this.balancerSite.call(upload));
    }
  },
);

Then(
  'each of them is answered {int} without a part of the answer',
  function (this: EarlyWorld, expected: number) {
    assert.ok(this.earlyWorker.requests > 0);
    for (const {status, headers, body} of this.earlyAnswers) {
      assert.equal(status, expected, body);
      assert.equal(headers['wasabidyke-server-seal'], undefined);
      assert.ok(!body.includes(EARLY_BODY), body);
    }
  },
);

Given(
  'its answers have {int} chunks of one byte',
  function (this: EarlyWorld, chunks: number) {
    const body = '1\r\nx\r\n'.repeat(chunks);
    this.earlyWorker.answer = {...this.earlyWorker.answer, body};
  },
);

When(
  '{int} orders are sent to it at the same time',
  async function (this: EarlyWorld, count: number) {
    const order = {path: '/write/a', method: 'POST', body: 'order'};
    const call = () => this.balancerSite.call(order);
    this.earlyAnswers = await Promise.all(Array.from({length: count}, call));
  },
);

When(
  'it answers load queries {string}',
  function (this: EarlyWorld, status: string) {
    this.earlyWorker.loadStatus = status;
  },
);

Then(
  'the log tells of attempts that were broken because {string}',
  function (this: EarlyWorld, cause: string) {
    const lines = this.balancerSite.log.events.filter(
      ({event, result}) => event === 'attempt.ended' && result === 'broken',
    );
    assert.ok(lines.length > 0);
    lines.forEach(line => assert.equal(line.cause, cause));
  },
);

Then(
  'the log tells that load queries failed because {string}',
  async function (this: EarlyWorld, cause: string) {
    await eventually('a load query failed', async () => {
      await this.balancerSite.call({path: '/read/a'});
      return this.balancerSite.log.events.some(line => line.cause === cause);
    });
  },
);

Then('each of them ends without a success', function (this: EarlyWorld) {
  assert.ok(this.earlyWorker.requests > 0);
  for (const {status} of this.earlyAnswers) {
    assert.ok(status >= 500, String(status));
  }
});

Then(
  'each of them is answered {int} with the answer of the worker',
  function (this: EarlyWorld, expected: number) {
    for (const {status, headers, body} of this.earlyAnswers) {
      assert.equal(status, expected, body);
      assert.equal(headers['wasabidyke-server-seal'], 'seal-of-early');
      assert.equal(body, EARLY_BODY);
    }
  },
);
