/** Steps for the priorities of the requests that can arrive at a service by the configuration. */

import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {
  RoutingTable,
  type ClientAccount,
  type Route,
} from '@wasabidyke/balancer';

const SERVICE = 'service-a';

const tables = new WeakMap<object, RoutingTable>();

function toRoute(priority: number, index: number): Route {
  return {
    name: `route-${index}`,
    host: 'host-a',
    prefix: `/${index}/`,
    kind: 'idempotent',
    timeoutMs: 1_000,
    targetLatencyMs: 200,
    priority,
    maximumAttempts: 2,
    targets: [{name: SERVICE, weight: 1}],
    allowedRegions: [],
    isPublic: false,
  };
}

function toAccount(priority: number, index: number, hasKey: boolean) {
  const account: ClientAccount = {
    name: `account-${index}`,
    keys: hasKey ? [`key-${index}`] : [],
    priority,
    requestsPerSecond: 0,
    burst: 0,
    allowedRegions: [],
  };
  return account;
}

function toNumbers(text: string): number[] {
  return (text.match(/\d+/g) ?? []).map(Number);
}

Given(
  /^a configuration in which a service is used by routes of priority (\d+ and \d+)( of which the second has weight 0)?( of which the first is public)?(?:, and accounts of priority (\d+(?: and \d+)?))?( without a key)?$/,
  function (
    this: object,
    routes: string,
    isSecondUnused: string | null,
    isFirstPublic: string | null,
    accounts: string | null,
    isLastWithoutKey: string | null,
  ) {
    const [first, second] = toNumbers(routes).map(toRoute);
    const other = {name: 'service-b', weight: 1};
    const priorities = accounts === null ? undefined : toNumbers(accounts);
    const table = new RoutingTable({
      version: 1,
      routes: [
        {...first, isPublic: isFirstPublic !== null},
        isSecondUnused === null
          ? second
          : {...second, targets: [{name: SERVICE, weight: 0}, other]},
      ],
      services: [],
      limits: {
        headerBytes: 1_000,
        bodyBytes: 1_000,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: 1_000,
      },
      accounts: priorities?.map((priority, index) => {
        const isLast = index === priorities.length - 1;
        return toAccount(priority, index, !(isLast && isLastWithoutKey));
      }),
    });
    tables.set(this, table);
  },
);

Then(
  /^requests of (one priority|several priorities) can arrive at the service$/,
  function (this: object, expected: string) {
    assert.equal(
      tables.get(this)?.hasSeveralPriorities(SERVICE),
      expected === 'several priorities',
    );
  },
);
