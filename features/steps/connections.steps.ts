/** Steps for the connections to one upstream. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ConnectionPool, type UpstreamConnection} from '@wasabidyke/balancer';

interface ConnectionWorld {
  pool: ConnectionPool;
  taken: Array<UpstreamConnection | undefined>;
}

Given(
  'a pool of at most {int} connections',
  function (this: ConnectionWorld, most: number) {
    // Connections open with their first request, which none of these has.
    this.pool = new ConnectionPool('127.0.0.1:9', most);
    this.taken = [];
  },
);

When(
  '{int} connections are taken',
  function (this: ConnectionWorld, count: number) {
    this.taken = Array.from({length: count}, () => this.pool.take());
  },
);

When(
  'connections 1 and 2 are taken and given back in that order',
  function (this: ConnectionWorld) {
    this.taken = [this.pool.take(), this.pool.take()];
    for (const connection of this.taken) {
      assert.ok(connection !== undefined);
      this.pool.release(connection);
    }
  },
);

When(
  'connection {int} is given up',
  function (this: ConnectionWorld, index: number) {
    this.taken[index - 1]?.destroy();
  },
);

Then(
  'a request takes connection {int}',
  function (this: ConnectionWorld, index: number) {
    assert.equal(this.pool.take(), this.taken[index - 1]);
  },
);

Then(
  'a load query takes connection {int}',
  function (this: ConnectionWorld, index: number) {
    assert.equal(this.pool.takeLongestIdle(), this.taken[index - 1]);
  },
);

Then('a request takes no connection', function (this: ConnectionWorld) {
  assert.equal(this.pool.take(), undefined);
});
