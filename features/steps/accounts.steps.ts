/** Steps for requests with keys of client accounts. */

import assert from 'node:assert/strict';
import {After, Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {
  ACCOUNTS,
  applied,
  CallerConnection,
  configureAccounts,
  SECRET,
  toRequestText,
} from '../support/account-site.js';
import type {BalancerSite, CallerAnswer} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';

interface AccountWorld {
  balancerSite: BalancerSite;
  answer: CallerAnswer;
  status: number;
  pipelinedCalls: CallerConnection;
  /** Connections by the key that is used on them. */
  accountConnections: Map<string, CallerConnection>;
  accountUpload: CallerConnection;
}

/** Beginning of the ids of the requests of these steps. */
const ID = 'account-request';

const UPLOAD = 'ten bytes!';

/** Size of a key that is still allowed, and quota likewise. */
const KILOBYTE = 1_024;
const QUOTA_LIMIT = 1e12;

/** Accounts that a configuration replaces or adds, by what is odd about it. */
const CHANGES: Readonly<Record<string, object>> = {
  'one key at two accounts': {beta: {api_keys: ['secret-alpha-1']}},
  'a negative quota': {beta: {...ACCOUNTS.beta, rate_per_s: -1}},
  'a negative burst': {beta: {...ACCOUNTS.beta, burst: -0.5}},
  'a quota over 10^12': {beta: {...ACCOUNTS.beta, rate_per_s: 1.1e12}},
  'a burst over 10^12': {beta: {...ACCOUNTS.beta, burst: 1e13}},
  'a key over 1 kB': {beta: {api_keys: [SECRET.padEnd(KILOBYTE + 1, 'x')]}},
  'an empty key': {beta: {api_keys: ['secret-beta', '']}},
  'a key with outer blanks': {beta: {api_keys: ['secret-beta', 'secret-b ']}},
  'a key with a line break': {beta: {api_keys: ['secret-beta\nsecret-b']}},
  'a key with inner blanks': {beta: {api_keys: ['secret-beta \t secret-b']}},
  'one key twice at one account': {
    beta: {api_keys: ['secret-beta', 'secret-beta']},
  },
  'an account without keys': {gamma: {}},
  'a key of 1 kB': {beta: {api_keys: [SECRET.padEnd(KILOBYTE, 'x')]}},
  'a quota of 10^12': {beta: {rate_per_s: QUOTA_LIMIT, burst: QUOTA_LIMIT}},
  'two unknown regions': {
    beta: {...ACCOUNTS.beta, allowed_regions: ['moon', 'mars', 'home']},
  },
  'an unknown region': {
    beta: {...ACCOUNTS.beta, allowed_regions: ['moon', 'home']},
  },
};

Given('client accounts', async function (this: AccountWorld) {
  this.accountConnections = new Map();
  await configureAccounts(this.balancerSite, ACCOUNTS);
  await this.balancerSite.ready();
});

Given(
  'the configuration has no accounts any more',
  async function (this: AccountWorld) {
    this.balancerSite.accounts = undefined;
    this.balancerSite.configure();
    await applied(this.balancerSite);
  },
);

After(function (this: Partial<AccountWorld>) {
  this.accountConnections?.forEach(connection => connection.close());
  this.pipelinedCalls?.close();
  this.accountUpload?.close();
});

When(
  'a look-up is sent with the fields {string}',
  async function (this: AccountWorld, fields: string) {
    this.status = await send(this, toRequestText('GET /read/a', fields, ID));
  },
);

When(
  '{string} is sent with the fields {string}',
  async function (this: AccountWorld, line: string, fields: string) {
    this.status = await send(this, toRequestText(line, fields, ID));
  },
);

When(
  'a look-up is sent with a key of {int} bytes',
  async function (this: AccountWorld, bytes: number) {
    const fields = `Wasabidyke-Key: ${SECRET.padEnd(bytes, 'x')}`;
    this.status = await send(this, toRequestText('GET /read/a', fields, ID));
  },
);

When(
  '{string} is sent with a key of {int} bytes',
  async function (this: AccountWorld, line: string, bytes: number) {
    const fields = `Wasabidyke-Key: ${SECRET.padEnd(bytes, 'x')}`;
    this.status = await send(this, toRequestText(line, fields, ID));
  },
);

Then('its status is {int}', function (this: AccountWorld, status: number) {
  assert.equal(this.status, status);
});

Then(
  'the workers got {int} requests of it',
  function (this: AccountWorld, count: number) {
    assert.equal(requestsOf(this).length, count);
  },
);

Then(
  'no key is found in the log, the metrics or at a worker',
  async function (this: AccountWorld) {
    const {body} = await this.balancerSite.get(2, '/metrics');
    const got = this.balancerSite.workers
      .flatMap(({requests}) => requests)
      .map(request => JSON.stringify([request, ...request.headers]));
    const log = JSON.stringify(this.balancerSite.log.events);
    for (const text of [body, log, ...got]) {
      assert.ok(!text.toLowerCase().includes(SECRET), text);
    }
  },
);

Then(
  'the worker got the account {string}',
  function (this: AccountWorld, name: string) {
    const got = requestsOf(this).map(({headers}) => headers);
    assert.equal(got.length, 1);
    assert.equal(got[0].get('wasabidyke-tenant'), name);
  },
);

Then('the worker got no account', function (this: AccountWorld) {
  const got = requestsOf(this).map(({headers}) => headers);
  assert.equal(got.length, 1);
  assert.ok(!got[0].has('wasabidyke-tenant'));
  assert.ok(!got[0].has('wasabidyke-key'));
});

Then(
  'the log tells of the request, its route, the version and the reason {string}',
  function (this: AccountWorld, reason: string) {
    const {version} = this.balancerSite;
    const lines = linesOf(this, 'request.unauthorized');
    assert.equal(lines.length, 1);
    const {event, entry, host, path, ...fields} = lines[0];
    assert.deepEqual(
      {event, entry, host, path},
      {
        event: 'request.unauthorized',
        entry: 'entry-1',
        host: 'shop.example',
        path: '/read/a',
      },
    );
    const {configurationAgeMs, recordsAgeMs, recordsRevision, ...rest} = fields;
    for (const value of [configurationAgeMs, recordsAgeMs, recordsRevision]) {
      assert.ok(Number.isInteger(value), `${value}`);
    }
    assert.deepEqual(rest, {
      request: ID,
      route: 'read',
      version,
      status: 401,
      reason,
      account: undefined,
      feeder: 'store',
    });
  },
);

Given(
  'a connection on which the key {string} is accepted',
  async function (this: AccountWorld, key: string) {
    const connection = await CallerConnection.open(
      this.balancerSite.callerPort,
    );
    this.accountConnections.set(key, connection);
    connection.write(toKeyRequest(key));
    assert.deepEqual(await connection.answered(1), [200]);
  },
);

When(
  'the key {string} of {string} is revoked',
  async function (this: AccountWorld, key: string, name: string) {
    const accounts = {...ACCOUNTS} as Record<string, {api_keys: string[]}>;
    const kept = accounts[name].api_keys.filter(other => other !== key);
    accounts[name] = {...accounts[name], api_keys: kept};
    await configureAccounts(this.balancerSite, accounts);
  },
);

When(
  'the key {string} moves from {string} to {string}',
  async function (this: AccountWorld, key: string, from: string, to: string) {
    const accounts = {...ACCOUNTS} as Record<string, {api_keys: string[]}>;
    const kept = accounts[from].api_keys.filter(other => other !== key);
    const gained = [...accounts[to].api_keys, key];
    accounts[from] = {...accounts[from], api_keys: kept};
    accounts[to] = {...accounts[to], api_keys: gained};
    await configureAccounts(this.balancerSite, accounts);
  },
);

Then(
  'the key {string} is refused on its connection',
  async function (this: AccountWorld, key: string) {
    assert.equal(await sendAgain(this, key), 401);
  },
);

Then(
  'the key {string} is accepted on its connection',
  async function (this: AccountWorld, key: string) {
    assert.equal(await sendAgain(this, key), 200);
  },
);

Then(
  'the log names {string} as the account whose key was revoked',
  function (this: AccountWorld, name: string) {
    const [line] = linesOf(this, 'request.unauthorized');
    assert.equal(line.reason, 'revoked-key');
    assert.equal(line.account, name);
    assert.equal(line.version, this.balancerSite.version);
  },
);

When(
  'look-ups with these keys are sent one behind the other',
  async function (this: AccountWorld, table: DataTable) {
    const keys = table.raw().map(([key]) => key);
    this.pipelinedCalls = await CallerConnection.open(
      this.balancerSite.callerPort,
    );
    this.pipelinedCalls.write(keys.map(toKeyRequest).join(''));
    await this.pipelinedCalls.answered(keys.length);
  },
);

Then(
  'they are answered {string} in order',
  function (this: AccountWorld, statuses: string) {
    assert.equal(this.pipelinedCalls.statuses.join(', '), statuses);
  },
);

Given(
  'an upload with the key {string} of which half has arrived',
  async function (this: AccountWorld, key: string) {
    this.accountUpload = await CallerConnection.open(
      this.balancerSite.callerPort,
    );
    const fields = `Wasabidyke-Key: ${key}`;
    const text = toRequestText('POST /write/a', fields, ID, UPLOAD);
    this.accountUpload.write(text.slice(0, -UPLOAD.length / 2));
    await eventually('the head has arrived', async () => {
      const {body} = await this.balancerSite.get(2, '/metrics');
      return body.includes('wasabidyke_requests_in_flight 1\n');
    });
  },
);

When('the rest of the upload arrives', function (this: AccountWorld) {
  this.accountUpload.write(UPLOAD.slice(UPLOAD.length / 2));
});

Then(
  'the upload is answered {int}',
  async function (this: AccountWorld, status: number) {
    assert.deepEqual(await this.accountUpload.answered(1), [status]);
  },
);

Given(
  'an entry that has no configuration',
  async function (this: AccountWorld) {
    this.balancerSite.store.set('op/config', undefined);
    await this.balancerSite.addEntry();
  },
);

When(
  'a look-up without a key is sent to that entry',
  async function (this: AccountWorld) {
    this.answer = await this.balancerSite.call({path: '/read/a', entry: 1});
  },
);

When(
  /^a configuration with (.+) is written$/,
  function (this: AccountWorld, what: string) {
    const site = this.balancerSite;
    const change = CHANGES[what];
    assert.ok(change !== undefined || what === 'no accounts in its table');
    site.accounts = change === undefined ? {} : {...ACCOUNTS, ...change};
    site.configure();
  },
);

When(
  'a configuration without a fault is written',
  function (this: AccountWorld) {
    this.balancerSite.accounts = ACCOUNTS;
    this.balancerSite.configure();
  },
);

Then(
  'the log tells that it was refused because of {string}',
  async function (this: AccountWorld, account: string) {
    await eventually(
      'it is refused',
      () => linesOf(this, 'configuration.refused').length > 0,
    );
    const [line] = linesOf(this, 'configuration.refused');
    assert.equal(line.refusedVersion, this.balancerSite.version);
    assert.equal(line.version, this.balancerSite.version - 1);
    assert.ok(String(line.cause).includes(JSON.stringify(account)));
  },
);

Then(
  'the former configuration is still in force',
  async function (this: AccountWorld) {
    const {body} = await this.balancerSite.get(2, '/metrics');
    const version = /^wasabidyke_configuration_version (\d+)$/m.exec(body)?.[1];
    assert.equal(Number(version), this.balancerSite.version - 1);
  },
);

Then(
  'the log names the region {string} and the account {string} once',
  function (this: AccountWorld, region: string, account: string) {
    const lines = linesOf(this, 'configuration.unknown-regions');
    assert.equal(lines.length, 1);
    assert.equal(lines[0].regions, region);
    assert.equal(lines[0].subjects, `account ${account}`);
    assert.equal(lines[0].version, this.balancerSite.version);
  },
);

Then(
  /^the log has (\d+) lines? on unknown regions$/,
  function (this: AccountWorld, count: string) {
    const lines = linesOf(this, 'configuration.unknown-regions');
    assert.equal(lines.length, Number(count));
  },
);

async function send(world: AccountWorld, text: string): Promise<number> {
  const connection = await CallerConnection.open(world.balancerSite.callerPort);
  connection.write(text);
  const [status] = await connection.answered(1);
  connection.close();
  return status;
}

function toKeyRequest(key: string): string {
  const fields = key === '' ? '' : `Wasabidyke-Key: ${key}`;
  return toRequestText('GET /read/a', fields, ID);
}

async function sendAgain(world: AccountWorld, key: string): Promise<number> {
  const connection = world.accountConnections.get(key);
  assert.ok(connection !== undefined);
  const {length} = connection.statuses;
  connection.write(toKeyRequest(key));
  return (await connection.answered(length + 1))[length];
}

function requestsOf({balancerSite}: AccountWorld) {
  return balancerSite.workers
    .flatMap(({requests}) => requests)
    .filter(({headers}) => headers.get('wasabidyke-attempt-id') === ID);
}

function linesOf({balancerSite}: AccountWorld, name: string) {
  return balancerSite.log.events.filter(({event}) => event === name);
}
