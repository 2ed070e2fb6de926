/** Steps for the whole path, from a caller to an upstream and back. */

import assert from 'node:assert/strict';
import {createHash, randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {z} from 'zod';
import {CallerSocket, NO_REQUEST} from '../support/caller-socket.js';
import {eventually} from '../support/eventually.js';
import {Site, type SiteEntry} from '../support/site.js';

const UPLOAD_BYTES = 5_000_000;

const LIST_SCHEMA = z.object({
  entries: z.array(z.object({name: z.string(), home: z.string()})),
});

const UPSTREAM_ANSWER_SCHEMA = z.object({
  worker: z.string(),
  run: z.string(),
  requestBytes: z.number(),
  requestDigest: z.string(),
});

const PROBLEM_SCHEMA = z.object({reason: z.string(), outcome: z.string()});

/** Time in which a look-up reaches its upstream, in milliseconds. */
const READ_WITHIN_MS = 200;

/** Later than the deadline of every request. */
const TOO_LATE_MS = 20_000;

/** Time in which a head that is cut is refused, in milliseconds: its limit, and the time between Node's checks. */
const HEAD_REFUSED_WITHIN_MS = 45_000;

interface PathWorld {
  site: Site;
  slowCaller: CallerSocket;
}

interface Sent {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: Buffer | string;
}

async function send(entry: SiteEntry, sent: Sent) {
  const {path, ...options} = sent;
  const answer = await request(`http://${entry.callers}${path}`, options);
  return {answer, text: await answer.body.text()};
}

async function listEntries(entry: SiteEntry) {
  const {text} = await send(entry, {method: 'GET', path: '/v1/entries'});
  return LIST_SCHEMA.parse(JSON.parse(text)).entries;
}

/** The upstream stand-in's answer: a line of JSON, then its payload. */
function readUpstreamAnswer(text: string) {
  return UPSTREAM_ANSWER_SCHEMA.parse(JSON.parse(text.split('\n')[0]));
}

async function readRevision(entry: SiteEntry): Promise<number> {
  const answer = await request(`http://${entry.operators}/v1/status`);
  const status = await answer.body.json();
  return z.object({revision: z.number()}).parse(status).revision;
}

After(async function (this: PathWorld) {
  await this.site?.stop();
});

Given(
  'a site of two entries in two availability zones',
  async function (this: PathWorld) {
    this.site = await Site.start(2);
  },
);

Given(
  'an operator has submitted its manifest to the first entry',
  async function (this: PathWorld) {
    const [first] = this.site.entries;
    const submission = {
      body: JSON.stringify(this.site.manifest),
      basedOn: 0,
      submission: 'first',
    };
    const answer = await request(`http://${first.operators}/v1/manifest`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(submission),
    });
    assert.equal(answer.statusCode, 201, await answer.body.text());
  },
);

Given(
  'the manifest is in force at every entry',
  async function (this: PathWorld) {
    for (const entry of this.site.entries) {
      await eventually(
        `revision 1 at ${entry.name}`,
        async () => (await readRevision(entry)) === 1,
      );
    }
  },
);

Then('a caller is told of both entries', async function (this: PathWorld) {
  const [first] = this.site.entries;
  await eventually(
    'a list of both entries',
    async () => (await listEntries(first)).length === 2,
  );
});

Then(
  'a look-up through each entry is answered by an upstream',
  async function (this: PathWorld) {
    for (const entry of this.site.entries) {
      const sent = {method: 'GET', path: '/shop/cheese'} as const;
      const {answer, text} = await send(entry, sent);
      assert.equal(answer.statusCode, 200, text);
      assert.match(readUpstreamAnswer(text).worker, /^shop-/);
    }
  },
);

Then(
  'an order that is sent to both entries runs once',
  async function (this: PathWorld) {
    const [first] = this.site.entries;
    const listed = await listEntries(first);
    const home = listed.find(({name}) => name === first.name)?.home;
    const runs = new Set<string>();
    for (const entry of this.site.entries) {
      const {answer, text} = await send(entry, {
        method: 'POST',
        path: '/shop/orders',
        headers: {'idempotency-key': `${home}:order-1`},
        body: 'one cheese',
      });
      assert.equal(answer.statusCode, 200, text);
      runs.add(readUpstreamAnswer(text).run);
    }
    assert.equal(runs.size, 1);
  },
);

Then(
  'an upload through each entry arrives whole',
  async function (this: PathWorld) {
    const body = randomBytes(UPLOAD_BYTES);
    const digest = createHash('sha256').update(body).digest('hex');
    for (const entry of this.site.entries) {
      const sent = {method: 'PUT', path: '/shop/photos', body} as const;
      const {answer, text} = await send(entry, sent);
      assert.equal(answer.statusCode, 200, text);
      const read = readUpstreamAnswer(text);
      assert.equal(read.requestBytes, UPLOAD_BYTES);
      assert.equal(read.requestDigest, digest);
    }
  },
);

Then(
  'an order without a key is refused as {string} for {string}',
  async function (this: PathWorld, outcome: string, reason: string) {
    const sent = {method: 'POST', path: '/shop/orders', body: 'x'} as const;
    const {answer, text} = await send(this.site.entries[0], sent);
    assert.equal(answer.headers['wasabidyke-outcome'], outcome);
    const problem = PROBLEM_SCHEMA.parse(JSON.parse(text));
    assert.deepEqual(problem, {outcome, reason});
  },
);

When(
  'the upstream {string} answers only after every deadline',
  async function (this: PathWorld, worker: string) {
    const faults = {answerLateMs: TOO_LATE_MS};
    await this.site.changeUpstream(worker, {faults});
  },
);

Then(
  '{int} look-ups through the first entry are answered',
  async function (this: PathWorld, count: number) {
    const sent = {method: 'GET', path: '/shop/cheese'} as const;
    for (let index = 0; index < count; index++) {
      const {answer, text} = await send(this.site.entries[0], sent);
      assert.equal(answer.statusCode, 200, text);
    }
  },
);

When(
  'every upstream answers only after every deadline',
  async function (this: PathWorld) {
    const faults = {answerLateMs: TOO_LATE_MS};
    await this.site.changeUpstream('shop-1', {faults});
    await this.site.changeUpstream('shop-2', {faults});
  },
);

Then(
  'a look-up through the first entry is refused as {string} for {string}',
  async function (this: PathWorld, outcome: string, reason: string) {
    const sent = {method: 'GET', path: '/shop/cheese'} as const;
    const {answer, text} = await send(this.site.entries[0], sent);
    assert.equal(answer.headers['wasabidyke-outcome'], outcome);
    assert.notEqual(answer.headers['retry-after'], undefined);
    const problem = PROBLEM_SCHEMA.parse(JSON.parse(text));
    assert.deepEqual(problem, {outcome, reason});
  },
);

Then(
  'a look-up with bytes that are no request behind it gets one answer, with status {int}',
  async function (this: PathWorld, status: number) {
    const [host, port] = this.site.entries[0].callers.split(':');
    const connection = new CallerSocket(Number(port), host);
    await connection.opened();
    connection.write('GET /shop/cheese HTTP/1.1\r\nHost: shop.example\r\n\r\n');
    await sleep(READ_WITHIN_MS);
    connection.write(NO_REQUEST);
    await eventually('it is closed', () => connection.isEnded);
    connection.close();
    assert.deepEqual(connection.statuses, [status]);
  },
);

When(
  'a caller sends a part of the head of a look-up, and waits for an answer',
  async function (this: PathWorld) {
    const [host, port] = this.site.entries[0].callers.split(':');
    this.slowCaller = new CallerSocket(Number(port), host);
    await this.slowCaller.opened();
    this.slowCaller.write('GET /shop/cheese HTTP/1.1\r\nHost: ');
    await eventually(
      'it is closed',
      () => this.slowCaller.isEnded,
      HEAD_REFUSED_WITHIN_MS,
    );
  },
);

Then(
  'the connection is answered with the status {int} for {string}',
  function (this: PathWorld, status: number, reason: string) {
    const {received, statuses} = this.slowCaller;
    this.slowCaller.close();
    assert.deepEqual(statuses, [status]);
    assert.ok(received.includes(`"${reason}"`), received);
    assert.match(received, /^Wasabidyke-Outcome: not-run\r$/im);
  },
);
