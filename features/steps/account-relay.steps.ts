/** Steps for relayed requests of client accounts. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
  createServer,
  request as sendRequest,
  type ClientRequest,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {FeederConnection} from '@wasabidyke/balancer';
import {SystemClock} from '@wasabidyke/shared';
import {ACCOUNTS, configureAccounts, SECRET} from '../support/account-site.js';
import type {BalancerSite} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import type {OlderEntry} from '../support/older-entry.js';

/** A message that is being sent. */
interface PendingMessage {
  readonly request: ClientRequest;
  readonly rest: string;
  readonly answer: Promise<AccountRelayWorld['messageAnswer']>;
}

interface AccountRelayWorld {
  balancerSite: BalancerSite;
  older: Map<string, OlderEntry>;
  messageAnswer: {status: number; result: unknown; reason: unknown};
  pendingMessage: PendingMessage;
  relayedId: string;
  feedProblem: string;
}

const ID = 'account-request';

/** Time in which half a message arrives at an entry on this machine, in milliseconds. */
const ARRIVAL_MS = 100;

/** A record with a key, as entries pass it on. */
const RECORD = Buffer.from(`{"api_keys":["${SECRET}1"`).toString('base64');

/** Characters of a record that show a part of a key. */
const QUOTED_CHARACTERS = 4;

When(
  'look-ups with the key {string} are sent to entry 1 until one is relayed',
  async function (this: AccountRelayWorld, key: string) {
    const {log} = this.balancerSite;
    await eventually('one is relayed', async () => {
      await this.balancerSite.call({
        path: '/read/a',
        headers: {'Wasabidyke-Key': key},
      });
      const relayed = log.events.find(
        ({event, result}) =>
          event === 'request.relayed' && result === 'answered',
      );
      this.relayedId = String(relayed?.request);
      return relayed !== undefined;
    });
  },
);

Then(
  'the worker that got the relayed one got the account {string}',
  function (this: AccountRelayWorld, name: string) {
    const got = this.balancerSite.workers
      .flatMap(({requests}) => requests)
      .filter(
        ({headers}) => headers.get('wasabidyke-attempt-id') === this.relayedId,
      );
    assert.ok(got.length > 0);
    for (const {headers} of got) {
      assert.equal(headers.get('wasabidyke-tenant'), name);
      assert.ok(!headers.has('wasabidyke-key'));
    }
  },
);

Then(
  'the message to {string} names the account {string} and holds no key',
  function (this: AccountRelayWorld, entry: string, account: string) {
    const bodies = this.older.get(entry)?.bodies ?? [];
    const messages = bodies.filter(body => body.includes('/write/a'));
    assert.ok(messages.length > 0);
    for (const message of messages) {
      assert.ok(!message.includes(SECRET));
      const line = JSON.parse(message.split('\n', 1)[0]) as {
        account?: string;
        headers: Record<string, string>;
      };
      assert.equal(line.account, account);
      assert.equal(line.headers['wasabidyke-tenant'], account);
    }
  },
);

When(
  /^a message to relay "(.+)" with (.+) is sent to entry 1$/,
  async function (this: AccountRelayWorld, url: string, what: string) {
    const account = /^the account "(.+)"$/.exec(what)?.[1];
    const odd: Record<string, string> =
      what === 'a key in its header'
        ? {
            'wasabidyke-key': 'secret-alpha-1',
            'wasabidyke-tenant': 'alpha',
          }
        : {};
    const message = createMessage(url, account, odd);
    const port = this.balancerSite.feedPortOf(0);
    const {request, rest, answer} = startMessage(port, message);
    request.end(rest);
    this.messageAnswer = await answer;
  },
);

Given(
  'a message to relay {string} on the account {string} of which half has arrived at entry 1',
  async function (this: AccountRelayWorld, url: string, account: string) {
    const port = this.balancerSite.feedPortOf(0);
    this.pendingMessage = startMessage(port, createMessage(url, account));
    await sleep(ARRIVAL_MS);
  },
);

When(
  'the account {string} ends',
  async function (this: AccountRelayWorld, name: string) {
    const accounts = Object.entries(ACCOUNTS).filter(([key]) => key !== name);
    await configureAccounts(this.balancerSite, Object.fromEntries(accounts));
  },
);

When(
  'the rest of the message arrives',
  async function (this: AccountRelayWorld) {
    const {request, rest, answer} = this.pendingMessage;
    request.end(rest);
    this.messageAnswer = await answer;
  },
);

When(
  "another entry's answer with the record of a key breaks off in its grammar",
  async function (this: AccountRelayWorld) {
    const text = `{"revision":7,"changes":["${RECORD}",x]}`;
    const server = createServer((_, response) => response.end(text));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const feeder = new FeederConnection(
      'other',
      `127.0.0.1:${port}`,
      new SystemClock(),
    );
    const read = await feeder.readAll(-1);
    feeder.close();
    server.close();
    this.feedProblem = read.isErr() ? read.error.message : '';
  },
);

Then(
  'it is unreadable, and what is said of it quotes nothing of the record',
  function (this: AccountRelayWorld) {
    assert.ok(this.feedProblem.length > 0);
    const end = RECORD.slice(-QUOTED_CHARACTERS);
    assert.ok(!this.feedProblem.includes(end), this.feedProblem);
  },
);

function createMessage(
  url: string,
  account: string | undefined,
  headers: Readonly<Record<string, string>> = {},
): object {
  return {
    requestId: ID,
    method: 'GET',
    url,
    headers: {
      host: 'shop.example',
      'wasabidyke-attempt-id': ID,
      ...headers,
    },
    hasBody: false,
    callerAddress: '127.0.0.1',
    account,
    service: 'shop',
    kind: 'idempotent',
    elapsedMs: 0,
    remainingMs: 1_000,
    excluded: [],
  };
}

/** Sends the first half of a message. */
function startMessage(port: number, message: object): PendingMessage {
  const text = `${JSON.stringify(message)}\n`;
  const middle = Math.floor(text.length / 2);
  const request = sendRequest({
    host: '127.0.0.1',
    port,
    path: '/v1/relay',
    method: 'POST',
    agent: false,
    headers: {'content-length': text.length},
  });
  const answer = new Promise<AccountRelayWorld['messageAnswer']>(
    (resolve, reject) => {
      request.on('error', reject);
      request.on('response', response => {
        const {headers, statusCode = 0} = response;
        response.resume();
        response.on('end', () =>
          resolve({
            status: statusCode,
            result: headers['relay-result'],
            reason: headers['relay-reason'],
          }),
        );
      });
    },
  );
  request.write(text.slice(0, middle));
  return {request, rest: text.slice(middle), answer};
}
