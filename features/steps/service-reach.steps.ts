/** Steps for what an entry knows of its links to a service. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ServiceReach} from '@wasabidyke/policy';

interface ReachWorld {
  reach: ServiceReach;
  upstreams: object[];
}

Given(
  'a service of {int} upstreams',
  function (this: ReachWorld, count: number) {
    this.upstreams = Array.from({length: count}, () => ({}));
    this.reach = new ServiceReach({
      upstreams: () => count,
      onChange: () => {},
    });
  },
);

When('{int} upstreams fall silent', function (this: ReachWorld, count: number) {
  for (const upstream of this.upstreams.slice(0, count)) {
    this.reach.onSilent(upstream);
  }
});

When(
  'one upstream falls silent {int} times',
  function (this: ReachWorld, times: number) {
    for (let time = 0; time < times; time++) {
      this.reach.onSilent(this.upstreams[0]);
    }
  },
);

When(
  '{int} upstreams fail at {int} ms',
  function (this: ReachWorld, count: number, nowMs: number) {
    for (const upstream of this.upstreams.slice(0, count)) {
      this.reach.onFailed(upstream, nowMs);
    }
  },
);

When('one answers', function (this: ReachWorld) {
  this.reach.onHeard();
});

Then('the entry reaches it', function (this: ReachWorld) {
  assert.equal(this.reach.isDoubtful, false);
});

Then('the entry doubts that it reaches it', function (this: ReachWorld) {
  assert.equal(this.reach.isDoubtful, true);
});

Then("it isn't known to be lost", function (this: ReachWorld) {
  assert.equal(this.reach.isLost(0), false);
});

Then(
  'it is known to be lost at {int} ms',
  function (this: ReachWorld, nowMs: number) {
    assert.equal(this.reach.isLost(nowMs), true);
  },
);

Then(
  "it isn't known to be lost at {int} ms",
  function (this: ReachWorld, nowMs: number) {
    assert.equal(this.reach.isLost(nowMs), false);
  },
);

Then(
  'of requests each {int} ms for {int} ms, {int} are sent to find out',
  function (this: ReachWorld, periodMs: number, forMs: number, count: number) {
    let sent = 0;
    for (let nowMs = 0; nowMs < forMs; nowMs += periodMs) {
      sent += Number(this.reach.takeTrial(nowMs));
    }
    assert.equal(sent, count);
  },
);
