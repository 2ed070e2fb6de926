/** Steps for proper requests that must not be answered 4xx. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';
import {cutInto, exchangeRaw} from '../support/raw-exchange.js';

interface DeniedWorld {
  balancerSite: BalancerSite;
  /** The statuses of each connection, in their order. */
  received: ReadonlyArray<readonly number[]>;
}

/** Time in which what was written is read, and an early answer to it, in milliseconds. */
const READ_WITHIN_MS = 50;

/** Answers that no connection gets, so that it is read until it ends. */
const ALL_ANSWERS = 9;

const REQUEST_LINE = 'GET /read/a HTTP/1.1';

/** What the configuration of the site allows, in bytes. */
const MAXIMUM_HEADER_BYTES = 8_192;

const BODY = 'a wheel of cheese';
const CHUNK = `11\r\n${BODY}\r\n`;
const LAST_CHUNK = '0\r\n\r\n';
const LENGTH = `Content-Length: ${BODY.length}`;
const CHUNKED = 'Transfer-Encoding: chunked';

let sent = 0;

function toHead(line: string, fields: readonly string[] = []): string {
  sent += 1;
  const id = `Wasabidyke-Attempt-Id: denied-${sent}`;
  const host = fields.some(field => field.startsWith('Host:'))
    ? []
    : ['Host: shop.example'];
  return [line, ...host, id, ...fields, '', ''].join('\r\n');
}

const toOrder = (fields: readonly string[]) =>
  toHead('POST /write/order HTTP/1.1', fields);
const toLookup = (fields: readonly string[] = [], target = '/read/a') =>
  toHead(`GET ${target} HTTP/1.1`, fields);

/** What a caller has sent when it closes. */
const CUT_REQUESTS: Readonly<Record<string, () => string>> = {
  'within the head of a look-up': () => toLookup().slice(0, -2),
  'within the body of an order': () => toOrder([LENGTH]) + BODY.slice(0, -5),
  'within a chunk of an order': () => toOrder([CHUNKED]) + CHUNK.slice(0, -5),
  'between two chunks of an order': () => toOrder([CHUNKED]) + CHUNK,
};

/** Valid requests in unusual forms. Sources: RFC 9110 and RFC 9112. */
const VALID_REQUESTS: ReadonlyArray<() => string> = [
  () => toLookup(),
  () => toHead('GET /read/a HTTP/1.0'),
  () => toHead('HEAD /read/a HTTP/1.1'),
  () => toHead('OPTIONS /read/a HTTP/1.1'),
  () => `\r\n\r\n${toLookup()}`,
  () => toLookup(['Host: shop.example:8080']),
  () => toLookup(['Host: SHOP.example']),
  () => toLookup(['Host:\tshop.example \t']),
  () => toLookup(['X-Cheese: caf\u00e9']),
  () => toLookup(['X-Cheese:']),
  () => toLookup(['Connection: close, x']),
  () => toLookup(['Connection: Upgrade', 'Upgrade: h2c']),
  () => toLookup([], '/read/%41;b/../c//d?e=/f?g&h'),
  () => toLookup([LENGTH]) + BODY,
  () => toOrder([]),
  () => toOrder(['Content-Length: 0']),
  () => toOrder([LENGTH]) + BODY,
  () => toOrder([LENGTH, 'Expect: 100-continue']) + BODY,
  () => toOrder([CHUNKED]) + CHUNK + LAST_CHUNK,
  () => toOrder([CHUNKED]) + LAST_CHUNK,
  () =>
    toOrder([CHUNKED]) + `011;a=b;c="d"\r\n${BODY}\r\n0\r\nX-Cheese: e\r\n\r\n`,
  () =>
    toOrder([CHUNKED]) + cutInto(BODY, 1).map(toChunk).join('') + LAST_CHUNK,
];

function toChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

Given(
  'a route whose services all have the weight 0',
  function (this: DeniedWorld) {
    const site = this.balancerSite;
    site.configure({
      weightless: {
        host: 'shop.example',
        prefix: '/read/weightless/',
        kind: 'safe',
        weighted_services: ['shop', 'shop'].map(service => ({
          service,
          weight: 0,
        })),
      },
    });
  },
);

When(
  /^(\d+) callers close in an orderly way (within|between)(.+)$/,
  async function (
    this: DeniedWorld,
    callers: string,
    where: string,
    rest: string,
  ) {
    const toRequest = CUT_REQUESTS[where + rest];
    this.received = await Promise.all(
      Array.from({length: Number(callers)}, () =>
        exchangeRaw(this.balancerSite.callerPort, {
          pieces: [toRequest()],
          pauseMs: READ_WITHIN_MS,
          answers: ALL_ANSWERS,
          closes: true,
        }),
      ),
    );
  },
);

When(
  '{int} callers close in an orderly way once the head of an order is refused',
  async function (this: DeniedWorld, callers: number) {
    this.received = await Promise.all(
      Array.from({length: callers}, () =>
        exchangeRaw(this.balancerSite.callerPort, {
          pieces: [toOrder([LENGTH])],
          pauseMs: READ_WITHIN_MS,
          answers: ALL_ANSWERS,
          closes: true,
        }),
      ),
    );
  },
);

When(
  'requests of each valid form are sent whole and in pieces of 1, 7 and 64 bytes',
  async function (this: DeniedWorld) {
    const port = this.balancerSite.callerPort;
    const sends = VALID_REQUESTS.flatMap(toRequest =>
      [1, 7, 64, Infinity].map(size => {
        const text = toRequest();
        const pieces = cutInto(text, Math.min(size, text.length));
        return exchangeRaw(port, {pieces, answers: 1});
      }),
    );
    this.received = await Promise.all(sends);
  },
);

When(
  'look-ups are sent behind the bodies of orders that have no route',
  async function (this: DeniedWorld) {
    const line = 'POST /nowhere/order HTTP/1.1';
    const orders = [
      () => [toHead(line, [LENGTH]), BODY],
      () => [toHead(line, [LENGTH, 'Expect: 100-continue']), BODY],
      () => [toHead(line, [CHUNKED]), CHUNK, CHUNK + LAST_CHUNK],
    ];
    const sends = [0, 1, READ_WITHIN_MS].flatMap(pauseMs =>
      orders.map(toPieces => {
        const pieces = [...toPieces(), toLookup()];
        const port = this.balancerSite.callerPort;
        return exchangeRaw(port, {pieces, pauseMs, answers: 2});
      }),
    );
    this.received = await Promise.all(sends);
  },
);

When(
  'a look-up with the target {string} is sent to the host {string}',
  async function (this: DeniedWorld, target: string, host: string) {
    const pieces = [toLookup([`Host: ${host}`], target)];
    const port = this.balancerSite.callerPort;
    this.received = [await exchangeRaw(port, {pieces, answers: 1})];
  },
);

When(
  /^a look-up is sent whose (whole head is|header fields alone are) as long as the limit$/,
  async function (this: DeniedWorld, counted: string) {
    const extra = counted.startsWith('whole') ? 0 : REQUEST_LINE.length;
    const short = toHead(REQUEST_LINE, ['X-Cheese: ']);
    const value = 'x'.repeat(MAXIMUM_HEADER_BYTES + extra - short.length);
    const text = short.replace('X-Cheese: ', `X-Cheese: ${value}`);
    const sends = [text.length, 1_460, 16].map(size =>
      exchangeRaw(this.balancerSite.callerPort, {
        pieces: cutInto(text, size),
        answers: 1,
      }),
    );
    this.received = await Promise.all(sends);
  },
);

Then('none of them got an answer', function (this: DeniedWorld) {
  assert.deepEqual(this.received.flat(), []);
});

Then(
  'each of them got the statuses {string}',
  function (this: DeniedWorld, statuses: string) {
    assertEach(this.received, statuses.split(', ').map(Number));
  },
);

Then(
  'each of them was answered {int}',
  function (this: DeniedWorld, status: number) {
    assertEach(this.received, [status]);
  },
);

Then(
  'the orders were answered {int}, and the look-ups {int}',
  function (this: DeniedWorld, order: number, lookup: number) {
    assertEach(this.received, [order, lookup]);
  },
);

function assertEach(
  received: ReadonlyArray<readonly number[]>,
  expected: readonly number[],
): void {
  assert.deepEqual(
    received,
    received.map(() => expected),
  );
}
