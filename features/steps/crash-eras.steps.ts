/** Steps for records of suspects in a store that comes back from an older copy. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import type {RecordCopy} from '../support/memory-record-store.js';

interface CrashEraWorld {
  balancerSite: BalancerSite;
  recordCopy: RecordCopy;
  suspectsBefore: readonly string[];
}

/** Longer than entries take to write again what was lost. */
const RESTORED_WITHIN_MS = 5_000;

/** Time until all entries have read what was restored. */
const READ_MS = 1_500;

Given('the store takes a copy', function (this: CrashEraWorld) {
  this.recordCopy = this.balancerSite.store.copy();
});

When('the last balancer stops', async function (this: CrashEraWorld) {
  await this.balancerSite.stopLastEntry();
});

When('the store comes back from that copy', function (this: CrashEraWorld) {
  this.suspectsBefore = listSuspects(this);
  assert.ok(this.suspectsBefore.length > 1);
  this.balancerSite.store.comeBackFrom(this.recordCopy);
  assert.deepEqual(listSuspects(this), []);
});

Then(
  'the store soon has as many records of suspects as before',
  async function (this: CrashEraWorld) {
    await eventually(
      'all are written again',
      () => {
        const {length} = listSuspects(this);
        return length === this.suspectsBefore.length;
      },
      RESTORED_WITHIN_MS,
    );
    await sleep(READ_MS);
    assert.deepEqual(listSuspects(this), this.suspectsBefore);
  },
);

Then(
  'the log has one {string} line of each balancer, with both eras and revisions',
  function (this: CrashEraWorld, event: string) {
    const {log, entries} = this.balancerSite;
    const lines = log.events.filter(line => line.event === event);
    assert.equal(new Set(lines.map(({entry}) => entry)).size, entries);
    assert.equal(lines.length, entries);
    for (const line of lines) {
      assert.ok(Number(line.era) > Number(line.formerEra));
      assert.ok(Number(line.revision) < Number(line.formerRevision));
      assert.ok(Number(line.writtenAgain) >= 1);
    }
  },
);

function listSuspects({balancerSite}: CrashEraWorld): readonly string[] {
  return balancerSite.store.keys
    .filter(key => key.startsWith('suspects/'))
    .sort();
}
