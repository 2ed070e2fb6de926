/** Steps for upstreams that ask for rest. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';

interface RestingWorld {
  balancerSite: BalancerSite;
}

Given(
  'worker {string} asks for a rest of {string}',
  function (this: RestingWorld, id: string, rest: string) {
    this.balancerSite.findWorker(id).rest = rest;
  },
);

When(
  'worker {string} asks for no rest any more',
  function (this: RestingWorld, id: string) {
    this.balancerSite.findWorker(id).rest = undefined;
  },
);

Then(
  'worker {string} got no load queries',
  function (this: RestingWorld, id: string) {
    assert.equal(this.balancerSite.findWorker(id).loadQueries, 0);
  },
);
