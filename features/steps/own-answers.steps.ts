/** Steps for answers with status 3xx or 4xx that an entry gives by itself. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';
import {CallerSocket} from '../support/caller-socket.js';
import {eventually} from '../support/eventually.js';
import type {LoggedEvent} from '../support/memory-log.js';
import {
  HOST_LINE,
  OWN_ANSWER_ID,
  REFUSED,
  REQUESTS,
  toRequest,
} from '../support/own-answer-requests.js';

interface OwnAnswerWorld {
  balancerSite: BalancerSite;
  /** The request that was sent last, and the connection that it was sent on. */
  sent: string;
  connection: CallerSocket;
}

const ID = OWN_ANSWER_ID;
const KEY = 'q7Zt-wV4k-Lm3b';

/** Length of the parts of a key that are looked for. */
const KEY_PART_LENGTH = 4;

const PORTS: Readonly<Record<string, number>> = {
  'for lists of entries': 1,
  'for followers': 3,
};
/** Sends bytes, and waits until the entry closes the connection. */
async function send(port: number, text: string): Promise<CallerSocket> {
  const connection = new CallerSocket(port);
  await connection.opened();
  connection.write(text);
  await eventually('it is closed', () => connection.isEnded);
  connection.close();
  return connection;
}

function linesOf(world: OwnAnswerWorld, event: string): readonly LoggedEvent[] {
  return world.balancerSite.log.events.filter(line => line.event === event);
}

/** The only line of an event. */
function onlyLineOf(world: OwnAnswerWorld, event: string): LoggedEvent {
  const lines = linesOf(world, event);
  assert.equal(lines.length, 1, JSON.stringify(world.balancerSite.log.events));
  return lines[0];
}

async function readMetric(
  {balancerSite}: OwnAnswerWorld,
  series: string,
): Promise<number> {
  const {body} = await balancerSite.get(2, '/metrics');
  const line = body.split('\n').find(text => text.startsWith(`${series} `));
  return Number(line?.slice(series.length));
}

Given(
  'a configuration with a route to services without weight',
  async function (this: OwnAnswerWorld) {
    const idle = {
      host: 'shop.example',
      prefix: '/idle/',
      kind: 'safe',
      timeout: '1000ms',
      target_latency: '200ms',
      priority: 1,
      max_attempts: 2,
      weighted_services: [
        {service: 'shop', weight: 0},
        {service: 'spare', weight: 0},
      ],
    };
    this.balancerSite.configure({idle});
    await this.balancerSite.ready();
  },
);

Given(
  'an entry that is announced at the address of this machine',
  async function (this: OwnAnswerWorld) {
    await this.balancerSite.addEntry();
    await eventually(
      'it is known',
      async () => (await readMetric(this, 'wasabidyke_entries')) > 1,
    );
  },
);

Given(
  "an entry that starts while the store doesn't tell its revision",
  async function (this: OwnAnswerWorld) {
    this.balancerSite.store.fault = 'no-revisions';
    await this.balancerSite.addEntry();
    await this.balancerSite.ready();
  },
);

When(
  /^a caller sends (an? [a-z -]+)$/,
  async function (this: OwnAnswerWorld, what: string) {
    this.sent = REQUESTS[what];
    this.connection = await send(this.balancerSite.callerPort, this.sent);
  },
);

When(
  /^a caller sends a look-up, and (.+) behind it once it is answered$/,
  async function (this: OwnAnswerWorld, what: string) {
    const connection = new CallerSocket(this.balancerSite.callerPort);
    this.connection = connection;
    await connection.opened();
    connection.write(`GET /read/a HTTP/1.1\r\n${HOST_LINE}\r\n\r\n`);
    await eventually('it is answered', () => connection.received !== '');
    connection.write(REFUSED[what]);
    await eventually('it is closed', () => connection.isEnded);
    connection.close();
  },
);

When(
  'a caller connects and sends nothing until it is answered',
  async function (this: OwnAnswerWorld) {
    this.connection = await send(this.balancerSite.callerPort, '');
  },
);

When(
  'callers send heads with a key and a wrong byte at each place',
  async function (this: OwnAnswerWorld) {
    const port = this.balancerSite.callerPort;
    const head = toRequest('GET /read/a', [
      HOST_LINE,
      `Wasabidyke-Key: ${KEY}`,
    ]);
    const places = [...head].map((_, place) => place);
    const spoiled = places.map(
      place => `${head.slice(0, place)}\u0001${head.slice(place)}`,
    );
    // A length beyond the body takes a part of the next head for it.
    const shifted = places.map(
      place =>
        `POST /write/a HTTP/1.1\r\n${HOST_LINE}\r\nContent-Length: ${place}\r\n\r\n${head}`,
    );
    await Promise.all([...spoiled, ...shifted].map(text => send(port, text)));
  },
);

When(
  /^"([A-Z]+ [^"]+)" with the body "(.*)" is sent to the port (.+)$/,
  async function (
    this: OwnAnswerWorld,
    line: string,
    body: string,
    name: string,
  ) {
    const headers = [HOST_LINE, `Content-Length: ${body.length}`];
    const port = this.balancerSite.portOf(0, PORTS[name]);
    this.connection = await send(port, toRequest(line, headers, body));
  },
);

Then(
  'it is refused as not run on the route {string}, with the reason {string}',
  function (this: OwnAnswerWorld, route: string, reason: string) {
    const line = onlyLineOf(this, 'request.refused');
    assert.deepEqual(
      [line.request, line.status, line.isNotRun, line.route, line.reason],
      [ID, 503, true, route, reason],
    );
  },
);

Then(
  /^it gets the status(?:es)? (\d+)(?: and (\d+))?$/,
  function (this: OwnAnswerWorld, first: string, second: string | null) {
    const expected = [first, second ?? first].map(Number);
    assert.deepEqual(statusesOf(this.connection), [...new Set(expected)]);
  },
);

Then(
  'one line {string} tells the reason {string} and the request',
  function (this: OwnAnswerWorld, event: string, reason: string) {
    const line = onlyLineOf(this, event);
    const host = /^Host: (.+)\r$/m.exec(this.sent)?.[1];
    const path = this.sent.split(/[ ?]/, 2)[1];
    const told = [line.reason, line.request, line.host, line.path];
    assert.deepEqual(told, [reason, ID, host, path]);
  },
);

Then(
  'one line {string} tells the reason {string}',
  function (this: OwnAnswerWorld, event: string, reason: string) {
    const line = onlyLineOf(this, event);
    const {status} = line;
    assert.deepEqual(
      [line.reason, status, line.address],
      [reason, statusesOf(this.connection)[0], '127.0.0.1'],
    );
    assert.ok(!String(line.path).includes('?'));
  },
);

Then(
  'the line tells what the decision was based on',
  function (this: OwnAnswerWorld) {
    const [status] = statusesOf(this.connection);
    const line = this.balancerSite.log.events.find(
      event => event.status === status,
    );
    const {version} = this.balancerSite;
    assert.deepEqual([line?.version, line?.feeder], [version, 'store']);
    assert.ok(Number(line?.recordsRevision) > 0);
    for (const ageMs of [line?.configurationAgeMs, line?.recordsAgeMs]) {
      assert.ok(Number(ageMs) >= 0 && Number(ageMs) < 10_000, `${ageMs}`);
    }
  },
);

Then(
  'the counter of own answers with status {int} and reason {string} stands at {int}',
  async function (
    this: OwnAnswerWorld,
    status: number,
    reason: string,
    count: number,
  ) {
    const series = `wasabidyke_own_answers_total{status="${status}",reason="${reason}"}`;
    assert.equal(await readMetric(this, series), count);
  },
);

Then(
  'the line {string} has the route {string}',
  function (this: OwnAnswerWorld, event: string, route: string) {
    assert.equal(onlyLineOf(this, event).route, route);
  },
);

Then(
  /^the line "(.+)" has the size (\d+), the limit (\d+) and (\d+|no) read bytes$/,
  function (
    this: OwnAnswerWorld,
    event: string,
    size: string,
    limit: string,
    read: string,
  ) {
    const line = onlyLineOf(this, event);
    const readBytes = read === 'no' ? undefined : Number(read);
    assert.deepEqual(
      [line.size, line.limit, line.readBytes],
      [Number(size), Number(limit), readBytes],
    );
  },
);

Then(
  /^the refused connection has the reason "(.+)", the cause "(.+)", (\d+) earlier requests and the bytes "(.+)"$/,
  function (
    this: OwnAnswerWorld,
    reason: string,
    cause: string,
    arrived: string,
    bytes: string,
  ) {
    const line = onlyLineOf(this, 'connection.refused');
    assert.deepEqual(
      [line.reason, line.cause, line.arrived, line.unanswered, line.isReading],
      [reason, cause, Number(arrived), 0, false],
    );
    assert.equal(line.refusedBytes, bytes);
    assert.equal(line.status, statusesOf(this.connection)[1]);
    assert.equal(line.address, '127.0.0.1');
    assert.ok(Number(line.bytesRead) > 0);
  },
);

Then(
  'more than {int} connections were refused',
  function (this: OwnAnswerWorld, count: number) {
    assert.ok(linesOf(this, 'connection.refused').length > count);
  },
);

Then('no part of the key is in the log', function (this: OwnAnswerWorld) {
  const text = JSON.stringify(this.balancerSite.log.events);
  for (let at = 0; at + KEY_PART_LENGTH <= KEY.length; at++) {
    const part = KEY.slice(at, at + KEY_PART_LENGTH);
    assert.ok(!text.includes(part), `${part} is in the log`);
  }
});

Then(
  "it gets what Node's server answers",
  async function (this: OwnAnswerWorld) {
    const server = createServer(() => assert.fail('the request was taken'));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const {received} = await send(port, this.sent);
    server.close();
    assert.notEqual(received, '');
    assert.equal(withoutDate(this.connection.received), withoutDate(received));
  },
);

Then(
  'the line of the applied configuration tells the source {string}, the revision and the age of the records',
  function (this: OwnAnswerWorld, source: string) {
    const {feeder, recordsRevision, recordsAgeMs} = onlyLineOf(
      this,
      'configuration.applied',
    );
    assert.equal(feeder, source);
    assert.ok(Number(recordsRevision) > 0);
    assert.ok(Number(recordsAgeMs) >= 0 && Number(recordsAgeMs) < 10_000);
  },
);

Then(
  'the line {string} tells the cause {string}',
  function (this: OwnAnswerWorld, event: string, cause: string) {
    assert.equal(onlyLineOf(this, event).cause, cause);
  },
);

Then(
  "the line of that entry's applied configuration tells no age of the records",
  function (this: OwnAnswerWorld) {
    const line = linesOf(this, 'configuration.applied').at(-1);
    assert.equal(line?.entry, 'entry-2');
    assert.equal(line?.feeder, 'store');
    assert.equal(line?.recordsAgeMs, undefined);
  },
);

Then(
  'the age of the configuration in force is told',
  async function (this: OwnAnswerWorld) {
    const ageSeconds = await readMetric(
      this,
      'wasabidyke_configuration_age_seconds',
    );
    assert.ok(ageSeconds > 0 && ageSeconds < 10, `${ageSeconds}`);
  },
);

/** Statuses of the answers, also of those behind a body without a line end. */
function statusesOf({received}: CallerSocket): readonly number[] {
  const heads = received.matchAll(/HTTP\/1.1 (\d+) /g);
  return [...heads].map(([, status]) => Number(status));
}

function withoutDate(text: string): string {
  return text.replace(/^Date: .*\r\n/m, '');
}
