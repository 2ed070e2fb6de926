/** Steps for the guard against requests that crash upstreams. */

import assert from 'node:assert/strict';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {CrashGuard, type Crash, type SuspectRecord} from '@wasabidyke/policy';
import {MINUTE_MS, SECOND_MS} from '@wasabidyke/shared';

interface GuardWorld {
  guard: CrashGuard;
  nowMs: number;
  refuted: readonly SuspectRecord[];
  sequence: number;
}

Given(
  'a crash guard that quarantines after {int} crashes',
  function (this: GuardWorld, quarantineCrashes: number) {
    this.guard = new CrashGuard({
      reporter: 'self',
      quarantineCrashes,
      countsOverlapping: false,
      sameCrashMs: Infinity,
    });
    this.nowMs = 0;
    this.sequence = 0;
  },
);

Given(
  'a crash guard that quarantines after {int} crashes, also if they overlap',
  function (this: GuardWorld, quarantineCrashes: number) {
    this.guard = new CrashGuard({
      reporter: 'self',
      quarantineCrashes,
      countsOverlapping: true,
      sameCrashMs: SECOND_MS,
    });
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
    const crashes = toNames(names).map(upstream => ({upstream}));
    report(this, reporter, fingerprint, crashes);
  },
);

When(
  'entry {string} reports that {string} of caller {string} crashed {string}',
  function (
    this: GuardWorld,
    reporter: string,
    fingerprint: string,
    caller: string,
    names: string,
  ) {
    const crashes = toNames(names).map(upstream => ({upstream, caller}));
    report(this, reporter, fingerprint, crashes);
  },
);

When(
  'entry {string} reports that {string} was under way at these upstreams when they crashed',
  function (
    this: GuardWorld,
    reporter: string,
    fingerprint: string,
    table: DataTable,
  ) {
    const crashes = table.hashes().map(({upstream, from, to}) => ({
      upstream,
      span: {fromMs: Number(from), toMs: Number(to)},
    }));
    report(this, reporter, fingerprint, crashes);
  },
);

When(
  'this entry sees {int} crashes of {string}',
  function (this: GuardWorld, count: number, fingerprint: string) {
    for (let index = 0; index < count; index++) {
      this.guard.onCrash({fingerprint}, {upstream: `u${index}`}, this.nowMs);
    }
  },
);

When(
  'this entry sees that upstream {string} runs after all',
  function (this: GuardWorld, upstream: string) {
    assert.equal(this.guard.onRefuted(upstream, this.nowMs).length, 1);
  },
);

When(
  '{int} entries report that {string} crashed one upstream each',
  function (this: GuardWorld, count: number, fingerprint: string) {
    for (let index = 0; index < count; index++) {
      const crashes = [{upstream: `u-${index}`}];
      report(this, `entry-${index}`, fingerprint, crashes);
    }
  },
);

When(
  'a record of {string} arrives that entry {string} wrote before',
  function (this: GuardWorld, fingerprint: string, reporter: string) {
    const crashes = [{upstream: 'u1'}];
    const record = {fingerprint, reporter, crashes, isAnswered: false};
    this.guard.onRecord({...record, sequence: 0}, this.nowMs);
  },
);

When(
  '{int} requests are reported that crashed one upstream each',
  function (this: GuardWorld, count: number) {
    for (let index = 0; index < count; index++) {
      report(this, 'a', `chance-${index}`, [{upstream: `u-${index}`}]);
    }
  },
);

When('{string} is answered', function (this: GuardWorld, fingerprint: string) {
  this.refuted = this.guard.onAnswer({fingerprint}, this.nowMs);
});

When(
  '{string} of caller {string} is answered',
  function (this: GuardWorld, fingerprint: string, caller: string) {
    this.refuted = this.guard.onAnswer({fingerprint, caller}, this.nowMs);
  },
);

When(
  '{int} minutes pass for the guard',
  function (this: GuardWorld, minutes: number) {
    this.nowMs += minutes * MINUTE_MS;
  },
);

Then(
  /^"([^"]+)" is (clear|quarantined|a suspect)$/,
  function (this: GuardWorld, fingerprint: string, status: string) {
    const found = this.guard.statusOf({fingerprint}, this.nowMs);
    assert.equal(found, status.replace('a ', ''));
  },
);

Then(
  /^"([^"]+)" of caller "([^"]+)" is (clear|quarantined|a suspect)$/,
  function (
    this: GuardWorld,
    fingerprint: string,
    caller: string,
    status: string,
  ) {
    const found = this.guard.statusOf({fingerprint, caller}, this.nowMs);
    assert.equal(found, status.replace('a ', ''));
  },
);

Then(
  'the answer refutes {string}',
  function (this: GuardWorld, reporters: string) {
    const refuted = this.refuted.map(({reporter}) => reporter);
    assert.deepEqual(refuted.sort(), toNames(reporters));
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

function toNames(text: string): string[] {
  return text.split(', ').filter(name => name !== '');
}

/** Applies a record that is later than all before it. */
function report(
  world: GuardWorld,
  reporter: string,
  fingerprint: string,
  crashes: readonly Crash[],
): void {
  world.sequence += 1;
  const {sequence} = world;
  const record = {fingerprint, reporter, sequence, crashes, isAnswered: false};
  world.guard.onRecord(record, world.nowMs);
}
