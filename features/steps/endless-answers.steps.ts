/** Steps for upstreams that send bytes without end. */

import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BalancerSite, CallerAnswer} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';

interface EndlessWorld {
  /** Growth of the heap while requests ran, and times in which the entry said whether it is ready. */
  heapBytes: number;
  readyMs: number[];
  balancerSite: BalancerSite;
  answers: CallerAnswer[];
  /** Largest growth of the memory for received bytes while requests ran. */
  heldBytes: number;
}

const MEBIBYTE = 1_048_576;
const SAMPLING_MS = 5;

/** Pause between two questions to the entry, in milliseconds. */
const ASKING_MS = 20;

/** Time in which uploads are read, and the time-out of routes for large ones, in milliseconds. */
const UPLOAD_MS = 1_500;
const LONG_TIMEOUT_MS = 20_000;

/** Time until the entry has seen that connections are closed, in milliseconds. */
const CLOSED_MS = 500;

/** Samples the heap, and the time that other callers wait. */
async function watchHeap(
  world: EndlessWorld,
  act: () => Promise<unknown>,
): Promise<void> {
  global.gc?.();
  const initialBytes = process.memoryUsage().heapUsed;
  let mostBytes = initialBytes;
  const sample = () => {
    mostBytes = Math.max(mostBytes, process.memoryUsage().heapUsed);
  };
  const timer = setInterval(sample, SAMPLING_MS);
  world.readyMs = [];
  let isOver = false;
  const asking = (async () => {
    while (!isOver) {
      const {tookMs} = await world.balancerSite.get(2, '/-/ready');
      world.readyMs.push(tookMs);
      await sleep(ASKING_MS);
    }
  })();
  await act();
  isOver = true;
  await asking;
  clearInterval(timer);
  sample();
  world.heapBytes = mostBytes - initialBytes;
}

When(
  /^(\d+) (look-ups|orders) are sent at the same time$/,
  async function (this: EndlessWorld, count: string, kind: string) {
    const {balancerSite} = this;
    const isOrder = kind === 'orders';
    global.gc?.();
    const initialBytes = process.memoryUsage().arrayBuffers;
    let mostBytes = initialBytes;
    const sample = () => {
      mostBytes = Math.max(mostBytes, process.memoryUsage().arrayBuffers);
    };
    const timer = setInterval(sample, SAMPLING_MS);
    const request = isOrder
      ? {path: '/write/a', method: 'POST', body: 'order'}
      : {path: '/read/a'};
    this.answers = await Promise.all(
      Array.from({length: Number(count)}, () => balancerSite.call(request)),
    );
    clearInterval(timer);
    sample();
    this.heldBytes = mostBytes - initialBytes;
  },
);

When(
  '{int} look-ups are sent at the same time, and the entry is asked whether it is ready meanwhile',
  async function (this: EndlessWorld, count: number) {
    const {balancerSite} = this;
    await watchHeap(this, () =>
      Promise.all(
        Array.from({length: count}, () => balancerSite.call({path: '/read/a'})),
      ),
    );
  },
);

When(
  '{int} uploads in {int} chunks of one byte are begun and not ended',
  async function (this: EndlessWorld, count: number, chunks: number) {
    const uploads = Array.from({length: count}, () =>
      connect(this.balancerSite.callerPort, '127.0.0.1'),
    );
    const head =
      'POST /write/a HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n';
    await watchHeap(this, async () => {
      uploads.forEach(socket =>
        socket.write(head + '1\r\nx\r\n'.repeat(chunks)),
      );
      await sleep(UPLOAD_MS);
    });
    uploads.forEach(socket => socket.destroy());
  },
);

Given(
  'a configuration that allows bodies of {int} bytes',
  async function (this: EndlessWorld, limitBytes: number) {
    const {balancerSite} = this;
    balancerSite.maximumBodyBytes = limitBytes;
    balancerSite.configure({}, 2, LONG_TIMEOUT_MS);
    await eventually('it is in force', () =>
      balancerSite.log.events.some(
        ({event, version}) =>
          event === 'configuration.applied' && version === balancerSite.version,
      ),
    );
  },
);

When(
  '{int} uploads of {int} bytes are sent at the same time',
  async function (this: EndlessWorld, count: number, bytes: number) {
    const body = 'x'.repeat(bytes);
    const upload = {path: '/write/a', method: 'POST', body, deadlineMs: 20_000};
    this.answers = await Promise.all(
      Array.from({length: count}, () => this.balancerSite.call(upload)),
    );
  },
);

When(
  '{int} uploads that declare {int} bytes are broken off one after the other',
  async function (this: EndlessWorld, count: number, bytes: number) {
    for (let index = 0; index < count; index++) {
      const socket = connect(this.balancerSite.callerPort, '127.0.0.1');
      socket.write(
        `POST /write/a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: ${bytes}\r\n\r\nfirst`,
      );
      await sleep(SAMPLING_MS * 10);
      socket.destroy();
    }
    await sleep(CLOSED_MS);
  },
);

Then(
  '{int} of them are answered 200 and the others are refused as not run, with when to come back',
  function (this: EndlessWorld, count: number) {
    const served = this.answers.filter(({status}) => status === 200);
    const others = this.answers.filter(({status}) => status !== 200);
    assert.equal(served.length, count);
    for (const {status, headers} of others) {
      assert.equal(status, 503);
      assert.ok(Number(headers['retry-after']) > 0);
    }
  },
);

Then(
  'the heap of the entry grew by at most {int} MiB',
  function (this: EndlessWorld, limit: number) {
    const grown = this.heapBytes / MEBIBYTE;
    assert.ok(grown <= limit, `${grown} MiB`);
  },
);

Then(
  'it said so within {int} ms each time',
  function (this: EndlessWorld, limitMs: number) {
    assert.ok(this.readyMs.length > 0);
    assert.ok(Math.max(...this.readyMs) < limitMs, `${this.readyMs}`);
  },
);

Then(
  'all look-ups are answered by {string} within {int} ms',
  function (this: EndlessWorld, id: string, limitMs: number) {
    for (const {status, body, tookMs} of this.answers) {
      assert.equal(status, 200, `${status} after ${tookMs} ms`);
      assert.ok(body.startsWith(`${id} ran`), body.slice(0, 40));
      assert.ok(tookMs < limitMs, `${tookMs} ms`);
    }
  },
);

Then(
  'all look-ups are answered within {int} ms',
  function (this: EndlessWorld, limitMs: number) {
    for (const {status, tookMs} of this.answers) {
      assert.equal(status, 200);
      assert.ok(tookMs < limitMs, `${tookMs} ms`);
    }
  },
);

Then(
  'all of them end within {int} ms without a success',
  function (this: EndlessWorld, limitMs: number) {
    for (const {status, tookMs} of this.answers) {
      assert.ok(status >= 500, `${status}`);
      assert.ok(tookMs < limitMs, `${tookMs} ms`);
    }
  },
);

Then(
  'the entry held at most {int} MiB of answers',
  function (this: EndlessWorld, limit: number) {
    const held = this.heldBytes / MEBIBYTE;
    assert.ok(held <= limit, `${held} MiB`);
  },
);
