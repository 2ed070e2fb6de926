/** Steps for a balancer on the users' platform. */

import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  BalancerSite,
  ROUTE_TIMEOUT_MS,
  type CallerAnswer,
} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import type {LoggedEvent} from '../support/memory-log.js';
import type {WorkerScript} from '../support/scripted-worker.js';

interface BalancerWorld {
  balancerSite: BalancerSite;
  answer: CallerAnswer;
  pipelined: string;
  wasReadyWhileStopping: boolean;
}

Given('a balancer on the platform', async function (this: BalancerWorld) {
  this.balancerSite = new BalancerSite();
  await this.balancerSite.start();
});

After(async function (this: Partial<BalancerWorld>) {
  await this.balancerSite?.close();
});

Given('a configuration', async function (this: BalancerWorld) {
  const site = this.balancerSite;
  site.configure();
  await eventually('it is ready', async () => {
    const {status} = await site.get(2, '/-/ready');
    return status === 200;
  });
});

Given('workers {string}', async function (this: BalancerWorld, names: string) {
  for (const name of names.split(', ')) {
    await this.balancerSite.addWorker(name);
  }
  await this.balancerSite.settle();
});

When(
  'every worker {string}',
  function (this: BalancerWorld, script: WorkerScript) {
    for (const worker of this.balancerSite.workers) {
      worker.script = script;
    }
  },
);

Given(
  'worker {string} {string} and is the least busy',
  function (this: BalancerWorld, id: string, script: WorkerScript) {
    for (const worker of this.balancerSite.workers) {
      worker.load = '4,2,4,100';
    }
    this.balancerSite.findWorker(id).script = script;
    this.balancerSite.findWorker(id).load = '0,0,4,100';
  },
);

When(
  'a caller sends {string} with id {string} and {int} ms',
  async function (
    this: BalancerWorld,
    line: string,
    id: string,
    deadlineMs: number,
  ) {
    const [method, path] = line.split(' ');
    this.answer = await this.balancerSite.call({method, path, id, deadlineMs});
  },
);

When(
  'a caller sends {string} with the body {string}',
  async function (this: BalancerWorld, line: string, body: string) {
    const [method, path] = line.split(' ');
    this.answer = await this.balancerSite.call({method, path, body});
  },
);

When(
  'a caller sends {string} with a body of {int} bytes',
  async function (this: BalancerWorld, line: string, bytes: number) {
    const [method, path] = line.split(' ');
    const body = 'x'.repeat(bytes);
    this.answer = await this.balancerSite.call({method, path, body});
  },
);

When(
  'a caller sends {string} and leaves after {int} ms',
  async function (this: BalancerWorld, line: string, leaveMs: number) {
    const socket = connect(this.balancerSite.callerPort, '127.0.0.1');
    socket.write(
      `${line} HTTP/1.1\r\nHost: shop.example\r\nWasabidyke-Attempt-Id: left\r\n\r\n`,
    );
    await eventually('the worker has it', () =>
      this.balancerSite.workers.some(({requests}) => requests.length > 0),
    );
    await sleep(leaveMs);
    socket.destroy();
  },
);

When(
  'a caller sends {string} one behind the other',
  async function (this: BalancerWorld, paths: string) {
    const socket = connect(this.balancerSite.callerPort, '127.0.0.1');
    const requests = paths
      .split(', ')
      .map(
        (path, index) =>
          `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nWasabidyke-Attempt-Id: p-${index}\r\n\r\n`,
      );
    let received = '';
    socket.on('data', chunk => (received += chunk.toString('latin1')));
    socket.write(requests.join(''));
    const isWhole = () => received.split(' ran ').length > requests.length;
    await eventually('all are answered', isWhole);
    this.pipelined = received;
    socket.destroy();
  },
);

When(
  'a caller sends {string} and the balancer is told to stop meanwhile',
  async function (this: BalancerWorld, line: string) {
    const [method, path] = line.split(' ');
    const site = this.balancerSite;
    const answered = site.call({method, path});
    await eventually(
      'the worker has it',
      () => site.workers[0].requests.length > 0,
    );
    const stopped = site.balancer?.stop();
    const {status} = await site.get(2, '/-/ready');
    this.wasReadyWhileStopping = status === 200;
    this.answer = await answered;
    await stopped;
  },
);

Given(
  'worker {string} reports the load {string}',
  function (this: BalancerWorld, id: string, load: string) {
    this.balancerSite.findWorker(id).load = load;
  },
);

Then(
  'the log tells of an attempt that was {string} at {string}',
  function (this: BalancerWorld, result: string, id: string) {
    const line = findLine(this.balancerSite, 'attempt.ended');
    assert.equal(line.result, result);
    assert.equal(line.upstream, id);
    assert.equal(typeof line.request, 'string');
  },
);

Then(
  'the log tells of {int} broken attempts at {int} requests',
  function (this: BalancerWorld, attempts: number, requests: number) {
    const lines = this.balancerSite.log.events.filter(
      ({event, result}) => event === 'attempt.ended' && result === 'broken',
    );
    assert.equal(lines.length, attempts);
    const fingerprints = new Set(lines.map(({fingerprint}) => fingerprint));
    assert.ok(!fingerprints.has(undefined));
    assert.equal(fingerprints.size, requests);
  },
);

Then(
  'the log tells that {string} was expected to answer too late',
  function (this: BalancerWorld, id: string) {
    const line = findLine(this.balancerSite, 'request.refused');
    assert.equal(line.reason, 'no-room');
    assert.equal(line.upstream, id);
    assert.ok(Number(line.estimateMs) > ROUTE_TIMEOUT_MS);
    assert.ok(Number(line.reportAgeMs) < ROUTE_TIMEOUT_MS);
    assert.ok(Number(line.freeSlots) < 0);
  },
);

Then(
  'the log tells that {string} was full, and the caller was told so within {int} ms',
  function (this: BalancerWorld, id: string, limitMs: number) {
    const line = findLine(this.balancerSite, 'request.refused');
    assert.equal(line.reason, 'full');
    assert.equal(line.isNotRun, true);
    assert.equal(line.upstream, id);
    assert.ok(Number(line.freeSlots) <= 0);
    assert.ok(Number(line.comeBackMs) > 0);
    assert.ok(Number(line.tookMs) <= limitMs, `${line.tookMs} ms`);
  },
);

When(
  'worker {string} answers load queries after {int} ms',
  function (this: BalancerWorld, id: string, delayMs: number) {
    this.balancerSite.findWorker(id).talkDelayMs = delayMs;
  },
);

When(
  'worker {string} resets each connection',
  function (this: BalancerWorld, id: string) {
    this.balancerSite.findWorker(id).reset();
  },
);

When(
  '{int} look-ups are sent, one each {int} ms',
  async function (this: BalancerWorld, count: number, gapMs: number) {
    for (let sent = 0; sent < count; sent++) {
      await this.balancerSite.call({path: '/read/a'});
      await sleep(gapMs);
    }
  },
);

Then(
  'worker {string} saw at most {int} connections',
  function (this: BalancerWorld, id: string, most: number) {
    const {opened} = this.balancerSite.findWorker(id);
    assert.ok(opened <= most, `${opened} connections`);
  },
);

When(
  'the next watch of the store is cut',
  async function (this: BalancerWorld) {
    const {store, workers} = this.balancerSite;
    store.fault = 'cut-watch';
    // A change ends the watch that waits; the one after it is cut.
    this.balancerSite.announce(workers[0], {});
    await eventually('it was cut', () => store.fault === 'none');
  },
);

Then(
  'the log has no {string} line',
  function (this: BalancerWorld, event: string) {
    const {events} = this.balancerSite.log;
    assert.equal(events.filter(line => line.event === event).length, 0);
  },
);

When('{int} ms pass at the site', async (milliseconds: number) => {
  await sleep(milliseconds);
});

Then(
  'the answer says that the order ran, or may have',
  function (this: BalancerWorld) {
    assert.ok([200, 502, 504].includes(this.answer.status));
  },
);

Then(
  'the workers got {int} request with {string}',
  function (this: BalancerWorld, count: number, path: string) {
    const requests = this.balancerSite.workers.flatMap(
      worker => worker.requests,
    );
    assert.equal(
      requests.filter(request => request.path === path).length,
      count,
    );
  },
);

Then('the answer is {int}', function (this: BalancerWorld, status: number) {
  assert.equal(this.answer.status, status);
});

Then(
  'the answer is {int} with body {string}',
  function (this: BalancerWorld, status: number, body: string) {
    assert.deepEqual(
      {status: this.answer.status, body: this.answer.body},
      {status, body},
    );
  },
);

Then(
  'the answer is {int} within {int} ms',
  function (this: BalancerWorld, status: number, limitMs: number) {
    assert.equal(this.answer.status, status);
    assert.ok(this.answer.tookMs < limitMs, `it took ${this.answer.tookMs} ms`);
  },
);

Then(
  'the answer has the header {string} {string}',
  function (this: BalancerWorld, name: string, value: string) {
    assert.equal(this.answer.headers[name], value);
  },
);

Then('the answer says when to come back', function (this: BalancerWorld) {
  assert.ok(Number(this.answer.headers['retry-after']) > 0);
});

Then(
  'worker {string} got {string} with id {string} for itself, with at most {int} ms',
  function (
    this: BalancerWorld,
    worker: string,
    line: string,
    id: string,
    mostMs: number,
  ) {
    const [request] = this.balancerSite.findWorker(worker).requests;
    const {headers} = request;
    assert.equal(`${request.method} ${request.path}`, line);
    assert.equal(headers.get('wasabidyke-attempt-id'), id);
    assert.equal(headers.get('wasabidyke-expected-instance'), worker);
    const leftMs = Number(headers.get('wasabidyke-request-deadline-ms'));
    assert.ok(leftMs > 0 && leftMs <= mostMs);
  },
);

Then(
  'worker {string} got the body {string}',
  function (this: BalancerWorld, worker: string, body: string) {
    assert.equal(this.balancerSite.findWorker(worker).requests[0].body, body);
  },
);

Then(
  'the workers got {int} request(s) in all',
  function (this: BalancerWorld, count: number) {
    const sent = this.balancerSite.workers.reduce(
      (sum, {requests}) => sum + requests.length,
      0,
    );
    assert.equal(sent, count);
  },
);

Then(
  'worker {string} sees its caller leave',
  async function (this: BalancerWorld, id: string) {
    const worker = this.balancerSite.findWorker(id);
    await eventually('the connection ends', () => worker.brokenOff === 1);
  },
);

Then('their answers come in order', function (this: BalancerWorld) {
  const order = [...this.pipelined.matchAll(/ ran \/read\/(\w)/g)].map(
    ([, name]) => name,
  );
  assert.deepEqual(order, ['a', 'b', 'c']);
});

Then(
  'the balancer was not ready while it stopped',
  function (this: BalancerWorld) {
    assert.equal(this.wasReadyWhileStopping, false);
  },
);

/** The first line of an event. */
function findLine(site: BalancerSite, event: string): LoggedEvent {
  const line = site.log.events.find(logged => logged.event === event);
  assert.ok(line !== undefined, `no ${event}`);
  return line;
}
