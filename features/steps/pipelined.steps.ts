/** Steps for requests that wait behind others on their connection. */

import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';

interface PipelinedWorld {
  balancerSite: BalancerSite;
}

When(
  'a caller sends {int} look-ups on one connection, and leaves after {int} ms',
  async function (this: PipelinedWorld, count: number, leavesAfterMs: number) {
    const socket = connect(this.balancerSite.callerPort, '127.0.0.1');
    for (let index = 0; index < count; index++) {
      socket.write(
        `GET /read/${index} HTTP/1.1\r\nHost: shop.example\r\nWasabidyke-Attempt-Id: behind-${index}\r\n\r\n`,
      );
    }
    await sleep(leavesAfterMs);
    socket.destroy();
  },
);

Then(
  'no worker is at work {int} ms later, and no request is in flight',
  async function (this: PipelinedWorld, delayMs: number) {
    await sleep(delayMs);
    const {workers} = this.balancerSite;
    const taken = workers.flatMap(({requests}) => requests).length;
    const left = workers.reduce((sum, {brokenOff}) => sum + brokenOff, 0);
    assert.ok(taken >= 3, `${taken} requests were taken`);
    assert.equal(left, taken);
    const {body} = await this.balancerSite.get(2, '/metrics');
    const inFlight = /^wasabidyke_requests_in_flight (.+)$/m.exec(body)?.[1];
    assert.equal(inFlight, '0');
  },
);
