/** Steps for configurations with unusual but valid values. */

import assert from 'node:assert/strict';
import {When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';

interface UnusualWorld {
  balancerSite: BalancerSite;
}

interface Configuration {
  routes: Record<string, Record<string, unknown>>;
  limits: Record<string, unknown>;
}

const DAY_S = 86_400;

function withRead(change: Record<string, unknown>) {
  return ({routes}: Configuration) => {
    routes.read = {...routes.read, ...change};
  };
}

function split(weights: readonly number[]) {
  return ({routes}: Configuration) => {
    const {service, ...rest} = routes.read;
    const targets = weights.map(weight => ({service, weight}));
    routes.read = {...rest, weighted_services: targets};
  };
}

/** What is unusual, by its name in the feature; undefined values are left out of the text. */
const CHANGES: Readonly<Record<string, (changed: Configuration) => void>> = {
  'a time-out of 0.75s': withRead({timeout: '0.75s'}),
  'a time-out of 1500.5ms': withRead({timeout: '1500.5ms'}),
  'a time-out of 30 days': withRead({timeout: `${30 * DAY_S}s`}),
  'a time-out of 400 digits': withRead({timeout: `${'9'.repeat(400)}ms`}),
  'no time-out': withRead({timeout: undefined}),
  'no target latency': withRead({target_latency: undefined}),
  'no priority': withRead({priority: undefined}),
  'no maximum of attempts': withRead({max_attempts: undefined}),
  '1000000 attempts': withRead({max_attempts: 1_000_000}),
  'weights that are fractions': split([0.25, 0.75]),
  'a weight of zero': split([0, 100]),
  'fields that nobody knows': withRead({colour: {deep: [1, null]}}),
  'a kind that nobody knows': ({routes}) => {
    routes.stream = {...routes.read, prefix: '/stream/', kind: 'stream'};
  },
  'a route of a service without worker': ({routes}) => {
    routes.empty = {...routes.read, prefix: '/empty/', service: 'nobody'};
  },
  'a route named __proto__': ({routes}) => {
    const value = {...routes.read, prefix: '/proto/'};
    Object.defineProperty(routes, '__proto__', {value, enumerable: true});
  },
  'a body limit of a petabyte': ({limits}) => {
    limits.max_body_bytes = 1e15;
  },
  'a host in capital letters': withRead({host: 'SHOP.EXAMPLE'}),
};

When(
  /^the configuration changes to one with (.+)$/,
  function (this: UnusualWorld, what: string) {
    const change = CHANGES[what];
    assert.ok(change !== undefined, what);
    this.balancerSite.configure();
    const text = this.balancerSite.store.read('op/config');
    const configuration = JSON.parse(text) as Configuration;
    change(configuration);
    this.balancerSite.store.set('op/config', configuration);
  },
);
