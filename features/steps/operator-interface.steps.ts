/** Steps for the operators' interface over HTTP. */

import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:net';
import {once} from 'node:events';
import {After, Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {
  OperatorClient,
  createOperatorServer,
  type ListenError,
  type OperatorError,
  type OperatorServer,
  type OperatorServerOptions,
} from '@wasabidyke/operator';
import type {Result} from '@wasabidyke/shared';
import {request} from 'undici';
import {CallerSocket, NO_REQUEST} from '../support/caller-socket.js';
import {eventually} from '../support/eventually.js';
import {
  FixedOperatorService,
  SUBMISSION_ANSWERS,
} from '../support/operator-service.js';

const ANY_PORT = '127.0.0.1:0';
const SHORT_DEADLINE_MS = 300;

/** More than Node takes for a head, in bytes. */
const LARGE_HEAD_BYTES = 70_000;

/** Time in which a connection is closed whose request is cut, in milliseconds: the server's limit, and the time between its checks. */
const CLOSED_WITHIN_MS = 40_000;

const PROBLEM_TYPE = 'application/problem+json; charset=utf-8';

interface OperatorWorld {
  service: FixedOperatorService;
  operatorServer?: OperatorServer;
  silentOperatorServer?: Server;
  listening: Result<string, ListenError>;
  address: string;
  errors: Error[];
  reading: Result<unknown, OperatorError>;
  submissionStatus: number;
  connection: CallerSocket;
}

async function serve(
  world: OperatorWorld,
  options: Partial<OperatorServerOptions> = {},
): Promise<void> {
  world.service ??= new FixedOperatorService();
  world.errors = [];
  world.operatorServer = createOperatorServer({
    address: ANY_PORT,
    service: world.service,
    onError: error => world.errors.push(error),
    ...options,
  });
  world.listening = await world.operatorServer.listen();
  world.address = world.listening.unwrapOr('');
}

async function useClient<Value>(
  world: OperatorWorld,
  token: string | undefined,
  use: (client: OperatorClient) => Promise<Value>,
): Promise<Value> {
  const deadlineMs = world.silentOperatorServer ? SHORT_DEADLINE_MS : undefined;
  const {address} = world;
  const client = new OperatorClient({address, token, deadlineMs});
  try {
    return await use(client);
  } finally {
    await client.close();
  }
}

After(async function (this: OperatorWorld) {
  await this.operatorServer?.close();
  this.silentOperatorServer?.close();
});

Given("an operators' server", async function (this: OperatorWorld) {
  await serve(this);
});

Given(
  "an operators' server with the token {string}",
  async function (this: OperatorWorld, token: string) {
    await serve(this, {token});
  },
);

Given(
  "an operators' server at {string}",
  async function (this: OperatorWorld, address: string) {
    await serve(this, {address});
  },
);

Given(
  "an operators' server whose service answers a submission with {string}",
  async function (this: OperatorWorld, outcome: string) {
    await serve(this);
    this.service.answer = SUBMISSION_ANSWERS[outcome];
  },
);

Given(
  "an operators' server whose service fails",
  async function (this: OperatorWorld) {
    await serve(this);
    this.service.failure = new Error('on purpose');
  },
);

Given(
  "an operators' server whose service takes {int} ms",
  async function (this: OperatorWorld, delayMs: number) {
    await serve(this);
    this.service.delayMs = delayMs;
  },
);

Given("no operators' server", async function (this: OperatorWorld) {
  await serve(this);
  await this.operatorServer?.close();
});

Given(
  "an operators' server that never answers",
  async function (this: OperatorWorld) {
    this.silentOperatorServer = createServer(socket => socket.unref());
    this.silentOperatorServer.listen(0, '127.0.0.1');
    await once(this.silentOperatorServer, 'listening');
    const bound = this.silentOperatorServer.address();
    assert(bound !== null && typeof bound === 'object');
    this.address = `127.0.0.1:${bound.port}`;
  },
);

When('the operator reads every page', async function (this: OperatorWorld) {
  await useClient(this, undefined, async client => {
    const pages = await Promise.all([
      client.readStatus(),
      client.readManifest(),
      client.readManifestStatus(),
      client.listEntries(),
      client.listUpstreams(),
      client.readLoadWatch(),
      client.listEvents(),
    ]);
    const {service} = this;
    assert.deepEqual(
      pages.map(page => page.unwrap()),
      [
        service.readStatus(),
        service.readManifest(),
        service.readManifestStatus(),
        JSON.parse(JSON.stringify(service.listEntries())),
        service.listUpstreams(),
        service.readLoadWatch(),
        service.listEvents(),
      ],
    );
  });
});

Then(
  'every page is as the service tells it',
  async function (this: OperatorWorld) {
    const metrics = await request(`http://${this.address}/metrics`);
    assert.match(String(metrics.headers['content-type']), /version=0\.0\.4/);
    assert.equal(await metrics.body.text(), this.service.renderMetrics());
  },
);

async function submit(world: OperatorWorld, body: string): Promise<string> {
  const answer = await request(`http://${world.address}/v1/manifest`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({body, basedOn: 7, submission: 'second'}),
  });
  world.submissionStatus = answer.statusCode;
  return await answer.body.text();
}

When('the operator submits a manifest', async function (this: OperatorWorld) {
  const submission = {body: '{}', basedOn: 7, submission: 'second'};
  this.reading = await useClient(this, undefined, client =>
    client.submitManifest(submission),
  );
  assert.deepEqual(this.service.submissions, [submission]);
  await submit(this, '{}');
});

When(
  'the operator submits a manifest with bytes that are no request behind it',
  async function (this: OperatorWorld) {
    const [host, port] = this.address.split(':');
    const body = JSON.stringify({body: '{}', basedOn: 7, submission: 'odd'});
    this.connection = new CallerSocket(Number(port));
    await this.connection.opened();
    this.connection.write(
      `POST /v1/manifest HTTP/1.1\r\nHost: ${host}\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    await eventually(
      'it is at work',
      () => this.service.submissions.length > 0,
    );
    this.connection.write(NO_REQUEST);
    await eventually('it is closed', () => this.connection.isEnded);
  },
);

When(
  /^the operator sends a head that (is too large|doesn't arrive in time|is no request)$/,
  async function (this: OperatorWorld, fault: string) {
    const part = 'GET /v1/status HTTP/1.1\r\nHost: localhost\r\nX-Name: ';
    const heads: Readonly<Record<string, string>> = {
      'is too large': `${part}${'x'.repeat(LARGE_HEAD_BYTES)}`,
      "doesn't arrive in time": part,
      'is no request': NO_REQUEST,
    };
    const port = Number(this.address.split(':')[1]);
    this.connection = new CallerSocket(port);
    await this.connection.opened();
    this.connection.write(heads[fault]);
    await eventually(
      'it is closed',
      () => this.connection.isEnded,
      CLOSED_WITHIN_MS,
    );
  },
);

Then(
  'the connection gets one answer, with status {int}',
  function (this: OperatorWorld, status: number) {
    this.connection.close();
    assert.deepEqual(this.connection.statuses, [status]);
  },
);

When(
  'the operator submits a manifest of {int} bytes',
  async function (this: OperatorWorld, size: number) {
    await submit(this, 'x'.repeat(size));
  },
);

Then(
  'the operator is told {string} with status {int}',
  function (this: OperatorWorld, outcome: string, status: number) {
    assert.deepEqual(this.reading.unwrap(), SUBMISSION_ANSWERS[outcome]);
    assert.equal(this.submissionStatus, status);
  },
);

Then(
  'the submission is refused with status {int}',
  function (this: OperatorWorld, status: number) {
    assert.equal(this.submissionStatus, status);
    assert.deepEqual(this.service.submissions, []);
  },
);

Then(
  'these requests are refused',
  async function (this: OperatorWorld, table: DataTable) {
    for (const row of table.hashes()) {
      const answer = await request(`http://${this.address}${row.path}`, {
        method: row.method,
        headers: row.type === '' ? {} : {'content-type': row.type},
        body: row.body === '' ? undefined : row.body,
      });
      const problem = JSON.parse(await answer.body.text());
      assert.deepEqual(
        [answer.statusCode, answer.headers['content-type'], problem.type],
        [Number(row.status), PROBLEM_TYPE, row.problem],
      );
    }
  },
);

async function read(world: OperatorWorld, token?: string): Promise<void> {
  world.reading = await useClient(world, token, client => client.readStatus());
}

When(
  'the operator reads the status with the token {string}',
  async function (this: OperatorWorld, token: string) {
    await read(this, token);
  },
);

When(
  'the operator reads the status without a token',
  async function (this: OperatorWorld) {
    await read(this);
  },
);

Then('the status is read', function (this: OperatorWorld) {
  assert.deepEqual(this.reading.unwrap(), this.service.readStatus());
});

Then(
  'the reading fails as {string}',
  function (this: OperatorWorld, kind: string) {
    assert(this.reading.isErr());
    assert.equal(this.reading.error.kind, kind);
  },
);

Then(
  'the reading fails as {string} with status {int}',
  function (this: OperatorWorld, kind: string, status: number) {
    assert(this.reading.isErr());
    assert.equal(this.reading.error.kind, kind);
    assert.equal(this.reading.error.status, status);
  },
);

Then(
  'it does not listen and tells {string}',
  function (this: OperatorWorld, kind: string) {
    assert(this.listening.isErr());
    assert.equal(this.listening.error.kind, kind);
  },
);

Then(
  'a request that names the host {string} is refused with status {int}',
  async function (this: OperatorWorld, host: string, status: number) {
    const url = `http://${this.address}/v1/status`;
    const answer = await request(url, {headers: {host}});
    await answer.body.dump();
    assert.equal(answer.statusCode, status);
  },
);

Then('the entry was told of the error', function (this: OperatorWorld) {
  assert.deepEqual(this.errors, [this.service.failure]);
});
