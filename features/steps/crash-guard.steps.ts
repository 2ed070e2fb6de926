/** Steps for the guard against requests that crash upstreams. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {CrashGuard} from '@wasabidyke/policy';
import {MINUTE_MS} from '@wasabidyke/shared';

interface GuardWorld {
  guard: CrashGuard;
  nowMs: number;
  refuted: readonly string[];
}

Given(
  'a crash guard that quarantines after {int} crashes',
  function (this: GuardWorld, quarantineCrashes: number) {
    this.guard = new CrashGuard({reporter: 'self', quarantineCrashes});
    this.nowMs = 0;
  },
);

When(
  'entry {string} reports that {string} crashed {string}',
  function (
    this: GuardWorld,
    reporter: string,
    fingerprint: string,
    names: string,
  ) {
    const upstreams = names.split(', ').filter(name => name !== '');
    this.guard.onRecord({fingerprint, reporter, upstreams}, this.nowMs);
  },
);

When(
  'entry {string} reports {int} crashes of {string}',
  function (
    this: GuardWorld,
    reporter: string,
    count: number,
    fingerprint: string,
  ) {
    for (let index = 0; index < count; index++) {
      const upstreams = [`u${index}`];
      this.guard.onRecord({fingerprint, reporter, upstreams}, this.nowMs);
    }
  },
);

When(
  '{int} requests are reported that crashed one upstream each',
  function (this: GuardWorld, count: number) {
    for (let index = 0; index < count; index++) {
      const fingerprint = `chance-${index}`;
      const upstreams = [`u-${index}`];
      const record = {fingerprint, reporter: 'a', upstreams};
      this.guard.onRecord(record, this.nowMs);
    }
  },
);

When('{string} is answered', function (this: GuardWorld, fingerprint: string) {
  this.refuted = this.guard.onAnswer(fingerprint);
});

When(
  '{int} minutes pass for the guard',
  function (this: GuardWorld, minutes: number) {
    this.nowMs += minutes * MINUTE_MS;
  },
);

Then(
  /^"([^"]+)" is (clear|quarantined)$/,
  function (this: GuardWorld, fingerprint: string, status: string) {
    assert.equal(this.guard.statusOf(fingerprint, this.nowMs), status);
  },
);

Then('{string} is a suspect', function (this: GuardWorld, fingerprint: string) {
  assert.equal(this.guard.statusOf(fingerprint, this.nowMs), 'suspect');
});

Then(
  'the answer refutes {string}',
  function (this: GuardWorld, reporters: string) {
    assert.deepEqual([...this.refuted].sort(), reporters.split(', '));
  },
);

Then(
  'at most {int} suspects are kept',
  function (this: GuardWorld, most: number) {
    assert.ok(this.guard.size <= most, `${this.guard.size} suspects`);
  },
);

Then(
  'at most {int} crashes of {string} are kept',
  function (this: GuardWorld, most: number, fingerprint: string) {
    const crashes = this.guard.crashesOf(fingerprint);
    assert.ok(crashes <= most, `${crashes} crashes`);
  },
);
