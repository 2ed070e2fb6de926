/** Steps for relayed requests of client accounts. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, request as sendRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Then, When} from '@cucumber/cucumber';
import {FeederConnection} from '@wasabidyke/balancer';
import {SystemClock} from '@wasabidyke/shared';
import {SECRET} from '../support/account-site.js';
import type {BalancerSite} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import type {OlderEntry} from '../support/older-entry.js';

interface AccountRelayWorld {
  balancerSite: BalancerSite;
  older: Map<string, OlderEntry>;
  messageAnswer: {status: number; result: unknown; reason: unknown};
  relayedId: string;
  feedProblem: string;
}

const ID = 'account-request';

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
    const odd =
      what === 'a key in its header'
        ? {
            'wasabidyke-key': 'secret-alpha-1',
            'wasabidyke-tenant': 'alpha',
          }
        : {};
    const message = {
      requestId: ID,
      method: 'GET',
      url,
      headers: {
        host: 'shop.example',
        'wasabidyke-attempt-id': ID,
        ...odd,
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
    const port = this.balancerSite.feedPortOf(0);
    this.messageAnswer = await sendMessage(port, message);
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

function sendMessage(
  port: number,
  message: object,
): Promise<AccountRelayWorld['messageAnswer']> {
  return new Promise((resolve, reject) => {
    const options = {host: '127.0.0.1', port, path: '/v1/relay'};
    const request = sendRequest(
      {...options, method: 'POST', agent: false},
      response => {
        const {headers, statusCode = 0} = response;
        response.resume();
        response.on('end', () =>
          resolve({
            status: statusCode,
            result: headers['relay-result'],
            reason: headers['relay-reason'],
          }),
        );
      },
    );
    request.on('error', reject);
    request.end(`${JSON.stringify(message)}\n`);
  });
}
