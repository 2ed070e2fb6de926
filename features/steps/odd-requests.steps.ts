/** Steps for requests and answers with bytes that nobody should send. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {Then, When} from '@cucumber/cucumber';
import type {BalancerSite, CallerAnswer} from '../support/balancer-site.js';
import {ODD_HEADER_BYTES} from '../support/scripted-worker.js';

interface OddRequestWorld {
  balancerSite: BalancerSite;
  answers: CallerAnswer[];
  /** What was received for each odd target. */
  received: string[];
}

/** Targets that HTTP's grammar refuses, or that no URL parser takes. */
const ODD_TARGETS = [
  '//',
  '//[',
  '///:99999/',
  '/%',
  '/\\',
  '*',
  'http://',
  'http://[::1',
  'http://host:99999/v1/records',
  '/v1/records?after=99999999999999999999&waitMs=1e9',
  '/-/resolve?%zz=%&zone=%ff',
];

const PORTS: Readonly<Record<string, number>> = {
  'for callers': 0,
  'for lists of entries': 1,
  'for readiness': 2,
  'for followers': 3,
};

When(
  /^requests with odd targets are sent to the port (.+)$/,
  async function (this: OddRequestWorld, name: string) {
    const port = this.balancerSite.portOf(0, PORTS[name]);
    this.received = [];
    for (const method of ['GET', 'POST']) {
      for (const target of ODD_TARGETS) {
        this.received.push(await exchange(port, `${method} ${target}`));
      }
    }
  },
);

Then('each of them was answered', function (this: OddRequestWorld) {
  for (const text of this.received) {
    assert.match(text, /^HTTP\/1\.1 \d{3} /);
  }
});

Then(
  'their header {string} has the bytes of the worker',
  function (this: OddRequestWorld, name: string) {
    for (const {headers} of this.answers) {
      assert.equal(headers[name], ODD_HEADER_BYTES);
    }
  },
);

async function exchange(port: number, line: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', chunk => (received += chunk.toString('latin1')));
  socket.on('error', () => socket.destroy());
  socket.write(
    `${line} HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
  );
  await once(socket, 'close');
  return received;
}
