/** Steps for the requests that one upstream may be running. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {UnsettledSends, type UnsettledSend} from '@wasabidyke/policy';

interface UnsettledWorld {
  sends: UnsettledSends<string>;
  sendByName: Map<string, UnsettledSend<string>>;
  sentCount: number;
}

Given(
  '{string} and {string} are sent to an upstream at {int} ms',
  function (this: UnsettledWorld, first: string, second: string, atMs: number) {
    this.sends = new UnsettledSends();
    this.sendByName = new Map(
      [first, second].map(name => [name, this.sends.add(name, atMs)]),
    );
  },
);

When(
  '{string} is given up at {int} ms',
  function (this: UnsettledWorld, name: string, atMs: number) {
    this.sends.abandon(findSend(this, name), atMs);
  },
);

When('{string} is settled', function (this: UnsettledWorld, name: string) {
  this.sends.settle(findSend(this, name));
});

When(
  'the upstream is seen at {int} ms',
  function (this: UnsettledWorld, atMs: number) {
    this.sends.onSeen(atMs);
  },
);

When(
  '{int} requests are sent to an upstream and given up at once',
  function (this: UnsettledWorld, count: number) {
    this.sends = new UnsettledSends();
    this.sentCount = count;
    for (let index = 0; index < count; index++) {
      this.sends.abandon(this.sends.add(String(index), 0), 0);
    }
  },
);

When(
  'the upstream had ended by {int} ms',
  function (this: UnsettledWorld, atMs: number) {
    this.sends.takeSentUntil(atMs);
  },
);

Then('nothing may be under way', function (this: UnsettledWorld) {
  assert.equal(this.sends.isEmpty, true);
});

Then(
  '{string} may be under way',
  function (this: UnsettledWorld, names: string) {
    assert.deepEqual(
      this.sends.list().map(({request}) => request),
      names.split(', '),
    );
  },
);

Then(
  '{int} of them may be under way, the latest among them',
  function (this: UnsettledWorld, count: number) {
    const taken = this.sends.list().map(({request}) => request);
    assert.equal(taken.length, count);
    assert.ok(taken.includes(String(this.sentCount - 1)));
  },
);

Then(
  'the upstream must be seen at {int} ms',
  function (this: UnsettledWorld, atMs: number) {
    assert.equal(this.sends.nextSightAtMs, atMs);
  },
);

Then("the upstream needn't be seen", function (this: UnsettledWorld) {
  assert.equal(this.sends.nextSightAtMs, undefined);
});

function findSend(
  {sendByName}: UnsettledWorld,
  name: string,
): UnsettledSend<string> {
  const send = sendByName.get(name);
  assert.ok(send);
  return send;
}
