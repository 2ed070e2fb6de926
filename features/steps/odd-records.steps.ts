/** Steps for records in the store that nobody should have written. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {UpstreamRegistry} from '@wasabidyke/balancer';
import type {BalancerSite, CallerAnswer} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import {
  ODD_ENTRY_RECORDS,
  ODD_WORKER_RECORDS,
  toEntryRecord,
  toWorkerRecord,
} from '@wasabidyke/soak';

interface OddWorld {
  balancerSite: BalancerSite;
  answers: CallerAnswer[];
  endings: unknown[];
  stopRecording: () => void;
}

/** Name of the worker or entry that the odd record is about. */
const ODD = 'odd';

/** Time for the entries to read a change of the store, in milliseconds. */
const READ_MS = 400;

Given('what would end the process is recorded', function (this: OddWorld) {
  const endings: unknown[] = [];
  const take = (error: unknown) => endings.push(error);
  process.on('uncaughtException', take);
  process.on('unhandledRejection', take);
  this.endings = endings;
  this.stopRecording = () => {
    process.off('uncaughtException', take);
    process.off('unhandledRejection', take);
  };
});

After(function (this: Partial<OddWorld>) {
  this.stopRecording?.();
});

When(
  /^another writer leaves a worker's record with (.+)$/,
  async function (this: OddWorld, oddity: string) {
    const odd = ODD_WORKER_RECORDS[oddity];
    assert.ok(odd !== undefined, oddity);
    this.balancerSite.store.set(`servers/${ODD}`, odd(toWorkerRecord()));
    await sleep(READ_MS);
  },
);

When(
  /^another writer leaves an entry's record with (.+)$/,
  async function (this: OddWorld, oddity: string) {
    const odd = ODD_ENTRY_RECORDS[oddity];
    assert.ok(odd !== undefined, oddity);
    this.balancerSite.store.set(`entries/${ODD}`, odd(toEntryRecord(ODD)));
    await sleep(READ_MS);
  },
);

When(
  /^another writer replaces the record of "(.+)" with (.+)$/,
  async function (this: OddWorld, id: string, oddity: string) {
    const worker = this.balancerSite.findWorker(id);
    const record = {...toWorkerRecord(), address: worker.address};
    this.balancerSite.store.set(
      `servers/${id}`,
      ODD_WORKER_RECORDS[oddity](record),
    );
    await sleep(READ_MS);
  },
);

When(
  'worker {string} announces itself again',
  async function (this: OddWorld, id: string) {
    this.balancerSite.announce(this.balancerSite.findWorker(id), {});
    await sleep(READ_MS);
  },
);

When('the configuration changes', function (this: OddWorld) {
  this.balancerSite.configure();
});

When(
  'the next record that an entry applies fails',
  async function (this: OddWorld) {
    const add = UpstreamRegistry.prototype.add;
    let hasFailed = false;
    UpstreamRegistry.prototype.add = () => {
      UpstreamRegistry.prototype.add = add;
      hasFailed = true;
      throw new Error('a fault in the application of a record');
    };
    this.balancerSite.store.set(`servers/${ODD}`, toWorkerRecord());
    await eventually('it fails', () => hasFailed);
  },
);

Then('all look-ups were served', function (this: OddWorld) {
  const refused = this.answers.filter(({status}) => status !== 200);
  assert.ok(this.answers.length > 0);
  assert.deepEqual(
    refused.map(({status}) => status),
    [],
  );
});

Then('nothing would have ended the process', function (this: OddWorld) {
  assert.deepEqual(this.endings, []);
});

Then(
  /^the log has an? "(.+)" line for the odd record$/,
  function (this: OddWorld, event: string) {
    const lines = this.balancerSite.log.events.filter(
      line => line.event === event,
    );
    assert.ok(lines.some(line => [line.upstream, line.subject].includes(ODD)));
  },
);

Then('the odd entry is not named to callers', async function (this: OddWorld) {
  const {body} = await this.balancerSite.get(1, '/-/resolve');
  const {addresses} = JSON.parse(body) as {addresses: string[]};
  assert.deepEqual(addresses, this.balancerSite.addresses);
});

Then(
  'all entries apply the newest configuration',
  async function (this: OddWorld) {
    const {balancerSite} = this;
    await eventually('all apply it', () =>
      balancerSite.addresses.every((_, index) =>
        balancerSite.log.events.some(
          ({event, entry, version}) =>
            event === 'configuration.applied' &&
            entry === `entry-${index + 1}` &&
            version === balancerSite.version,
        ),
      ),
    );
  },
);
