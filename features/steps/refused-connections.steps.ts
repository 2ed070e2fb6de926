/** Steps for connections that are answered outside the path of requests. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';
import {CallerSocket, NO_REQUEST} from '../support/caller-socket.js';
import {eventually} from '../support/eventually.js';

interface RefusalWorld {
  balancerSite: BalancerSite;
  connection: CallerSocket;
}

/** Time in which a request that is wrongly taken reaches a worker, in milliseconds. */
const RUNS_WITHIN_MS = 500;

/** Time in which bytes are read that were written, in milliseconds. */
const READ_WITHIN_MS = 100;

const BODY = 'a wheel of cheese';
const PATH = '/write/order';

function toOrder(): string {
  return [
    `POST ${PATH} HTTP/1.1`,
    'Host: shop.example',
    'Wasabidyke-Attempt-Id: order-1',
    'Wasabidyke-Request-Deadline-Ms: 9000',
    `Content-Length: ${BODY.length}`,
    '',
    BODY,
  ].join('\r\n');
}

/** Keeps this process, and the entry in it, from running. */
function standStill(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs) {
    // Timers become due and bytes arrive meanwhile.
  }
}

async function open(world: RefusalWorld): Promise<CallerSocket> {
  world.connection?.close();
  world.connection = new CallerSocket(world.balancerSite.callerPort);
  await world.connection.opened();
  return world.connection;
}

Given(
  'a configuration with a timeout of {int} ms',
  async function (this: RefusalWorld, timeoutMs: number) {
    const site = this.balancerSite;
    site.configure({}, 2, timeoutMs);
    await site.ready();
  },
);

Given(
  'all workers answer after {int} ms',
  function (this: RefusalWorld, slowMs: number) {
    for (const worker of this.balancerSite.workers) {
      Object.assign(worker, {script: 'slow', slowMs});
    }
  },
);

When(
  'a caller connects and sends an order once its connection is answered',
  async function (this: RefusalWorld) {
    const connection = await open(this);
    await eventually('it is answered', () => connection.received !== '');
    connection.write(toOrder());
    await sleep(RUNS_WITHIN_MS);
  },
);

When(
  'a caller connects, waits {int} ms, and sends an order just before the process stands still for {int} ms',
  async function (this: RefusalWorld, waitMs: number, forMs: number) {
    const connection = await open(this);
    await sleep(waitMs);
    connection.write(toOrder());
    standStill(forMs);
    await sleep(RUNS_WITHIN_MS);
  },
);

When(
  'a caller connects and sends a part of an order just before the process stands still for {int} ms, and the rest after it',
  async function (this: RefusalWorld, forMs: number) {
    const connection = await open(this);
    connection.write(toOrder().slice(0, 30));
    standStill(forMs);
    await sleep(READ_WITHIN_MS);
    connection.write(toOrder().slice(30));
    await sleep(RUNS_WITHIN_MS);
  },
);

When(
  'a caller connects and sends a byte of a head each {int} ms',
  async function (this: RefusalWorld, intervalMs: number) {
    const connection = await open(this);
    const head = `POST ${PATH} HTTP/1.1\r\nHost: ${'x'.repeat(200)}`;
    for (const byte of head) {
      if (connection.received !== '' || connection.isEnded) {
        break;
      }
      connection.write(byte);
      await sleep(intervalMs);
    }
  },
);

When(
  'a caller sends an order, and {} behind it on the same connection',
  async function (this: RefusalWorld, what: string) {
    const behind: Readonly<Record<string, string>> = {
      'bytes that are no request': NO_REQUEST,
      'a head that is too large': `GET /read/a HTTP/1.1\r\nHost: ${'x'.repeat(70_000)}`,
      'a part of a head': 'GET /read/a HTTP/1.1\r\nHost: ',
    };
    const connection = await open(this);
    connection.write(toOrder());
    await sleep(READ_WITHIN_MS);
    connection.write(behind[what]);
    await eventually('it is closed', () => connection.isEnded);
  },
);

When(
  'a caller sends bytes that are no request',
  async function (this: RefusalWorld) {
    const connection = await open(this);
    connection.write(NO_REQUEST);
    await eventually('it is closed', () => connection.isEnded);
  },
);

Then(
  /^the connection was answered (\d+)(?: within (\d+) ms)?$/,
  function (this: RefusalWorld, status: string, withinMs: string | null) {
    const {received, answeredAfterMs} = this.connection;
    this.connection.close();
    assert.match(received, new RegExp(`^HTTP/1.1 ${status} `));
    assert.ok(answeredAfterMs <= Number(withinMs ?? Infinity));
  },
);

Then(
  'the connection was answered {int}, and closed after it',
  function (this: RefusalWorld, status: number) {
    const {statuses, isEnded} = this.connection;
    this.connection.close();
    assert.deepEqual(statuses, [status]);
    assert.ok(isEnded);
  },
);

Then(
  /^the order has (not run|run once)$/,
  function (this: RefusalWorld, runs: string) {
    const ran = this.balancerSite.workers
      .flatMap(({requests}) => requests)
      .filter(({path}) => path === PATH);
    assert.equal(ran.length, runs === 'not run' ? 0 : 1);
  },
);
