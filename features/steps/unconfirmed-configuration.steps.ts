/** Steps for requests that only a configuration denies which may be outdated. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {applied} from '../support/account-site.js';
import type {
  BalancerSite,
  CallerAnswer,
  CallerRequest,
} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import type {StoreFault} from '../support/memory-record-store.js';

interface UnconfirmedWorld {
  balancerSite: BalancerSite;
}

const KEY_HEADER = 'wasabidyke-key';

const OVERSIZED_HEAD_BYTES = 9_000;
const OVERSIZED_BODY_BYTES = 100_001;

/** A safe route, as operators write it. */
function toRoute(prefix: string): object {
  return {
    host: 'shop.example',
    prefix,
    kind: 'safe',
    timeout: '1000ms',
    target_latency: '200ms',
    priority: 1,
    max_attempts: 2,
    service: 'shop',
  };
}

async function readRecordsAgeMs(site: BalancerSite): Promise<number> {
  const {body} = await site.get(2, '/metrics');
  const age = /^wasabidyke_records_age_seconds (\S+)$/m.exec(body);
  return Number(age?.[1]) * 1_000;
}

/** Sends a request that is to be refused as not run, with the time after which to come back. */
async function assertRefused(
  {balancerSite}: UnconfirmedWorld,
  request: CallerRequest,
): Promise<void> {
  const id = `unconfirmed-${request.path}`;
  const answer = await balancerSite.call({...request, id});
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  const lines = balancerSite.log.events.filter(line => line.request === id);
  const refusal = lines.find(({event}) => event === 'request.refused');
  assert.equal(refusal?.reason, 'unconfirmed-configuration');
  assert.equal(refusal.isNotRun, true);
  const denial = lines.find(({event}) => event === 'request.denial-withheld');
  assert.equal(typeof denial?.version, 'number');
}

function lookUp(
  {balancerSite}: UnconfirmedWorld,
  path: string,
  key?: string,
): Promise<CallerAnswer> {
  const headers = key === undefined ? undefined : {[KEY_HEADER]: key};
  return balancerSite.call({path, headers});
}

When(
  'the store is {string} until the records are {int} ms old',
  async function (this: UnconfirmedWorld, fault: StoreFault, ageMs: number) {
    this.balancerSite.store.fault = fault;
    await eventually(
      'the records are old',
      async () => (await readRecordsAgeMs(this.balancerSite)) > ageMs,
    );
  },
);

When(
  'a route below {string} is added',
  function (this: UnconfirmedWorld, prefix: string) {
    this.balancerSite.configure({added: toRoute(prefix)});
  },
);

Given(
  'client accounts, of which one has the key {string}',
  async function (this: UnconfirmedWorld, key: string) {
    this.balancerSite.accounts = {kiosk: {api_keys: [key]}};
    this.balancerSite.configure();
    await applied(this.balancerSite);
  },
);

When(
  'the account gets the key {string}',
  function (this: UnconfirmedWorld, key: string) {
    this.balancerSite.accounts = {kiosk: {api_keys: ['first', key]}};
    this.balancerSite.configure();
  },
);

Then(
  'the look-up {string} is refused as not run',
  function (this: UnconfirmedWorld, path: string) {
    return assertRefused(this, {path});
  },
);

Then(
  'the look-up {string} is soon refused as not run',
  async function (this: UnconfirmedWorld, path: string) {
    const isRead = () =>
      this.balancerSite.log.events.some(
        ({event}) => event === 'configuration.unreadable',
      );
    await eventually('the configuration is read', isRead);
    await assertRefused(this, {path});
  },
);

Then(
  'the look-up {string} with the key {string} is refused as not run',
  function (this: UnconfirmedWorld, path: string, key: string) {
    return assertRefused(this, {path, headers: {[KEY_HEADER]: key}});
  },
);

Then(
  'a look-up with a head over the limit is refused as not run',
  function (this: UnconfirmedWorld) {
    const headers = {'x-padding': 'x'.repeat(OVERSIZED_HEAD_BYTES)};
    return assertRefused(this, {path: '/read/a', headers});
  },
);

Then(
  'an order with a body over the limit is refused as not run',
  function (this: UnconfirmedWorld) {
    const body = 'x'.repeat(OVERSIZED_BODY_BYTES);
    return assertRefused(this, {path: '/write/a', method: 'POST', body});
  },
);

Then(
  'the look-up {string} is soon served',
  async function (this: UnconfirmedWorld, path: string) {
    await eventually(
      'it is served',
      async () => (await lookUp(this, path)).status === 200,
    );
  },
);

Then(
  'the look-up {string} is answered {int}',
  async function (this: UnconfirmedWorld, path: string, status: number) {
    assert.equal((await lookUp(this, path)).status, status);
  },
);

Then(
  'the look-up {string} with the key {string} is answered {int}',
  async function (
    this: UnconfirmedWorld,
    path: string,
    key: string,
    status: number,
  ) {
    assert.equal((await lookUp(this, path, key)).status, status);
  },
);
