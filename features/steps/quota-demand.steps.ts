/** Steps for the demand that regions tell each other, without a network. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  QuotaDemandExchange,
  type QuotaDemandExchangeOptions,
  type QuotaDemandMessage,
} from '@wasabidyke/balancer';
import {AccountGranting, DEFAULT_QUOTA_TOLERANCE} from '@wasabidyke/policy';

interface DemandWorld {
  demandExchange: QuotaDemandExchange | undefined;
  demandAccount: AccountGranting;
  demandNowMs: number;
  demandMessages: QuotaDemandMessage[];
}

const QUOTA = {requestsPerSecond: 30, burst: 30};
const SCOPE = {otherRegions: ['far'], part: 1};

/** Longer than the time between two messages, in milliseconds. */
const NEXT_MESSAGE_MS = 700;

/** Longer than demand is averaged over, and shorter than it is told again, in milliseconds. */
const FALL_MS = 10_000;

Given(
  /^a granting entry that is (chosen|a stand-in) for an account$/,
  function (this: DemandWorld, entry: string) {
    this.demandNowMs = 0;
    this.demandMessages = [];
    this.demandAccount = new AccountGranting(DEFAULT_QUOTA_TOLERANCE, 0);
    const chosen = entry === 'chosen' ? 'self' : 'other';
    this.demandExchange = new QuotaDemandExchange({
      members: {
        self: 'self',
        region: 'home',
        scope: SCOPE,
        choose: () => [chosen, 'third'],
        findGranting: () => 'far-1',
        addressOf: () => '127.0.0.1:1',
      },
      granter: () => ({list: () => [['acme', this.demandAccount, QUOTA]]}),
      client: {
        postKept: async ({body}: {body: string}) => {
          const message = JSON.parse(body) as QuotaDemandMessage;
          this.demandMessages.push(message);
          const demands = message.demands.map(({account, perSecond}) => ({
            account,
            perSecond: 0,
            knownPerSecond: perSecond,
          }));
          return {kind: 'answered', body: {region: 'far', demands}};
        },
      },
      counters: {demandsSent: {add: () => {}}},
      clock: {now: () => this.demandNowMs},
      hasAccounts: () => true,
    } as unknown as QuotaDemandExchangeOptions);
  },
);

After(function (this: Partial<DemandWorld>) {
  this.demandExchange?.stop();
});

Given(
  'it has told a demand of {int} requests a second',
  async function (this: DemandWorld, perSecond: number) {
    this.demandAccount.ask(2 * perSecond, QUOTA, SCOPE, this.demandNowMs);
    this.demandExchange?.start();
    await sleep(NEXT_MESSAGE_MS);
    assert.equal(this.demandMessages.length, 1);
  },
);

When('its demand falls to nothing', async function (this: DemandWorld) {
  this.demandNowMs += FALL_MS;
  await sleep(NEXT_MESSAGE_MS);
});

Then(
  'it has told {int} messages in all',
  function (this: DemandWorld, count: number) {
    const told = this.demandMessages.filter(({demands}) => demands.length > 0);
    assert.equal(told.length, count);
  },
);
