/** Steps for quotas of accounts at entries that run. */

import assert from 'node:assert/strict';
import {request as sendRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BalancerSite, CallerAnswer} from '../support/balancer-site.js';
import {OlderEntry, type OlderBuild} from '../support/older-entry.js';

/** A request and what became of it. */
interface Sent {
  readonly account: string;
  readonly sentAtMs: number;
  readonly answer: CallerAnswer;
}

interface QuotaWorld {
  balancerSite: BalancerSite;
  older?: Map<string, OlderEntry>;
  sent: Sent[];
}

/** Chooses the entry of a request; the number counts the requests of an account. */
type EntryOf = (request: number, elapsedMs: number) => number;

const ACCOUNTS = 20;
const SECOND_MS = 1_000;
/** Time after which callers that move go to the next entry. */
const MOVE_MS = 1_000;
const COUNTER = /^wasabidyke_quota_queries_sent_total (\d+)$/m;

Given(
  'accounts with a quota of {int} requests per second and a burst of {int}',
  function (this: QuotaWorld, rate: number, burst: number) {
    setQuota(this.balancerSite, rate, burst);
  },
);

Given(
  'further entries in the zones {string}',
  async function (this: QuotaWorld, zones: string) {
    for (const place of zones.split(', ')) {
      const [region, zone] = place.split('/');
      await this.balancerSite.addEntry(zone, region);
    }
    await this.balancerSite.ready();
  },
);

Given(
  'an announced entry {string} of build {string} that says that it grants',
  async function (this: QuotaWorld, name: string, build: OlderBuild) {
    const older = new OlderEntry(name, build);
    await older.listen();
    this.older ??= new Map();
    this.older.set(name, older);
    const record = {...older.record, grantsQuotas: true};
    this.balancerSite.store.set(`entries/${name}`, record);
    await sleep(SECOND_MS / 2);
  },
);

Given('entry {string} falls silent', function (this: QuotaWorld, name: string) {
  findOlder(this, name).isSilent = true;
});

When(
  'account {string} sends {int} requests per second to all entries for {int} ms',
  async function (
    this: QuotaWorld,
    account: string,
    rate: number,
    forMs: number,
  ) {
    const {entries} = this.balancerSite;
    this.sent = await send(this, account, rate, forMs, n => n % entries);
  },
);

When(
  'account {string} sends {int} requests per second to entry {int} for {int} ms',
  async function (
    this: QuotaWorld,
    account: string,
    rate: number,
    entry: number,
    forMs: number,
  ) {
    this.sent = await send(this, account, rate, forMs, () => entry - 1);
  },
);

When(
  'account {string} sends {int} requests per second to one entry after the other for {int} ms',
  async function (
    this: QuotaWorld,
    account: string,
    rate: number,
    forMs: number,
  ) {
    const {entries} = this.balancerSite;
    const entryOf: EntryOf = (_, elapsedMs) =>
      Math.floor(elapsedMs / MOVE_MS) % entries;
    this.sent = await send(this, account, rate, forMs, entryOf);
  },
);

When(
  'accounts {string} and {string} send {int} and {int} requests per second to all entries for {int} ms',
  async function (
    this: QuotaWorld,
    first: string,
    second: string,
    firstRate: number,
    secondRate: number,
    forMs: number,
  ) {
    const {entries} = this.balancerSite;
    const entryOf: EntryOf = n => n % entries;
    const sent = await Promise.all([
      send(this, first, firstRate, forMs, entryOf),
      send(this, second, secondRate, forMs, entryOf),
    ]);
    this.sent = sent.flat();
  },
);

When(
  '{int} accounts send {int} requests per second to all entries for {int} ms',
  async function (
    this: QuotaWorld,
    count: number,
    rate: number,
    forMs: number,
  ) {
    const {entries} = this.balancerSite;
    const sent = await Promise.all(
      Array.from({length: count}, async (_, index) => {
        // All of them at once would measure how fast one process runs several entries.
        await sleep((index * SECOND_MS) / rate / count);
        const entryOf: EntryOf = n => (n + index) % entries;
        return send(this, `a-${index + 1}`, rate, forMs, entryOf);
      }),
    );
    this.sent = sent.flat();
  },
);

When(
  'the last entry stops while account {string} sends {int} requests per second to the first entries for {int} ms',
  async function (
    this: QuotaWorld,
    account: string,
    rate: number,
    forMs: number,
  ) {
    const {balancerSite} = this;
    const others = balancerSite.entries - 1;
    const sending = send(this, account, rate, forMs, n => n % others);
    await sleep(SECOND_MS);
    await balancerSite.stopLastEntry();
    this.sent = await sending;
  },
);

When(
  'the quota is lowered to {int} requests per second and a burst of {int}',
  function (this: QuotaWorld, rate: number, burst: number) {
    setQuota(this.balancerSite, rate, burst);
    this.balancerSite.configure();
  },
);

When(
  'account {string} sends half of the body of a request, {int} times',
  async function (this: QuotaWorld, account: string, times: number) {
    this.sent = [];
    for (let index = 0; index < times; index++) {
      this.sent.push(await sendHalf(this.balancerSite, account));
    }
  },
);

Then(
  'at most {int} of its requests were answered within any {int} ms',
  function (this: QuotaWorld, limit: number, windowMs: number) {
    const timesMs = answered(this.sent).map(({sentAtMs}) => sentAtMs);
    for (const fromMs of timesMs) {
      const count = timesMs.filter(
        atMs => atMs >= fromMs && atMs < fromMs + windowMs,
      ).length;
      assert.ok(count <= limit, `${count}`);
    }
  },
);

Then(
  'at least {int} of its requests were answered',
  function (this: QuotaWorld, limit: number) {
    const {length} = answered(this.sent);
    assert.ok(length >= limit, `${length} of ${this.sent.length}`);
  },
);

Then(
  'the others were answered 429 within {int} ms, with spread times to come back',
  function (this: QuotaWorld, limitMs: number) {
    const others = this.sent.filter(({answer}) => answer.status !== 200);
    const timesMs = others.map(
      ({answer}) => Number(answer.headers['retry-after']) * SECOND_MS,
    );
    for (const {answer} of others) {
      assert.equal(answer.status, 429);
      assert.ok(answer.tookMs < limitMs, `${answer.tookMs} ms`);
    }
    assert.ok(timesMs.every(timeMs => timeMs > 0));
    assert.ok(new Set(timesMs).size > others.length / 3);
  },
);

Then(
  'the log names account {string} for each of them',
  function (this: QuotaWorld, account: string) {
    const refused = this.balancerSite.log.events.filter(
      ({event, reason}) =>
        event === 'request.refused' && reason === 'over-quota',
    );
    assert.ok(refused.length > 0);
    assert.ok(refused.every(fields => fields.account === account));
  },
);

Then(/^all (?:of its )?requests were answered$/, function (this: QuotaWorld) {
  assertAnswered(this, this.sent);
});

Then(
  'all requests of {string} were answered',
  function (this: QuotaWorld, name: string) {
    assertAnswered(
      this,
      this.sent.filter(({account}) => account === name),
    );
  },
);

Then(
  'none of its requests took longer than {int} ms',
  function (this: QuotaWorld, limitMs: number) {
    const timesMs = this.sent.map(({answer}) => answer.tookMs);
    assert.ok(Math.max(...timesMs) <= limitMs, `${Math.max(...timesMs)} ms`);
  },
);

Then('no entry was asked for quotas', async function (this: QuotaWorld) {
  const {balancerSite} = this;
  for (let entry = 0; entry < balancerSite.entries; entry++) {
    const {body} = await balancerSite.get(2, '/metrics', entry);
    assert.equal(COUNTER.exec(body)?.[1], '0');
  }
});

Then(
  'each of them was answered within {int} ms, most with 429',
  function (this: QuotaWorld, limitMs: number) {
    const statuses = this.sent.map(({answer}) => answer.status);
    const refused = this.sent.filter(({answer}) => answer.status === 429);
    assert.ok(refused.length > statuses.length / 2, statuses.join(' '));
    for (const {answer} of refused) {
      assert.ok(answer.tookMs <= limitMs, `${answer.tookMs} ms`);
    }
  },
);

Then(
  '{string} was not asked for quotas',
  function (this: QuotaWorld, name: string) {
    assert.ok(!findOlder(this, name).messages.includes('/v1/quota'));
  },
);

Then(
  '{string} was asked for quotas',
  function (this: QuotaWorld, name: string) {
    assert.ok(findOlder(this, name).messages.includes('/v1/quota'));
  },
);

/** Sets the quota of all accounts but "free", which has none. */
function setQuota(site: BalancerSite, rate: number, burst: number): void {
  const names = Array.from({length: ACCOUNTS}, (_, index) => `a-${index + 1}`);
  const accounts = names.map(name => [
    name,
    {api_keys: [`key-${name}`], rate_per_s: rate, burst},
  ]);
  site.accounts = {
    ...Object.fromEntries(accounts),
    free: {api_keys: ['key-free']},
  };
}

async function send(
  {balancerSite}: QuotaWorld,
  account: string,
  rate: number,
  forMs: number,
  entryOf: EntryOf,
): Promise<Sent[]> {
  const startMs = performance.now();
  const count = (rate * forMs) / SECOND_MS;
  const sent: Array<Promise<Sent>> = [];
  for (let index = 0; index < count; index++) {
    const dueMs = startMs + (index * SECOND_MS) / rate;
    await sleep(Math.max(0, dueMs - performance.now()));
    const sentAtMs = performance.now();
    const call = balancerSite.call({
      path: '/read/a',
      entry: entryOf(index, sentAtMs - startMs),
      headers: {'wasabidyke-key': `key-${account}`},
    });
    sent.push(call.then(answer => ({account, sentAtMs, answer})));
  }
  return Promise.all(sent);
}

/** Sends a request whose body stays incomplete; one that isn't refused gets no answer. */
function sendHalf(site: BalancerSite, account: string): Promise<Sent> {
  const sentAtMs = performance.now();
  return new Promise(resolve => {
    const finish = (status: number) => {
      const tookMs = performance.now() - sentAtMs;
      const answer = {status, headers: {}, body: '', tookMs};
      resolve({account, sentAtMs, answer});
      request.destroy();
    };
    const request = sendRequest({
      host: '127.0.0.1',
      port: site.callerPort,
      path: '/write/a',
      method: 'POST',
      headers: {
        host: 'shop.example',
        'wasabidyke-key': `key-${account}`,
        'content-length': '1000',
      },
      agent: false,
    });
    request.on('response', ({statusCode = 0}) => finish(statusCode));
    request.on('error', () => finish(0));
    request.setTimeout(SECOND_MS / 2, () => finish(0));
    request.write('x'.repeat(500));
  });
}

function answered(sent: readonly Sent[]): readonly Sent[] {
  return sent.filter(({answer}) => answer.status === 200);
}

function assertAnswered(
  {balancerSite}: QuotaWorld,
  sent: readonly Sent[],
): void {
  const statuses = sent.map(({answer}) => answer.status);
  assert.ok(sent.length > 0);
  const others = statuses.filter(status => status !== 200);
  const refusals = balancerSite.log.events.filter(({event}) =>
    ['request.refused', 'quota.unanswered'].includes(event),
  );
  assert.equal(others.length, 0, JSON.stringify(refusals));
}

function findOlder({older}: QuotaWorld, name: string): OlderEntry {
  const found = older?.get(name);
  assert.ok(found !== undefined);
  return found;
}
