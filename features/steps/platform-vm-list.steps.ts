/** Steps for the VM list. */

import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  HttpVmList,
  parseVmList,
  type VmListError,
  type VmListing,
} from '@wasabidyke/store';
import type {Result} from '@wasabidyke/shared';
import {sampleNonsense} from '../support/nonsense.js';
import {StandInProcess} from '../support/stand-in-process.js';

const CALL_TIMEOUT_MS = 10_000;

interface VmListWorld {
  listProcess: StandInProcess;
  list: HttpVmList;
  reading: Result<VmListing, VmListError>;
  readings: ReadonlyArray<Result<VmListing, VmListError>>;
}

After({tags: '@vm-list'}, async function (this: VmListWorld) {
  await this.list.close();
  await this.listProcess.stop();
});

Given('a VM list stand-in', async function (this: VmListWorld) {
  this.listProcess = await StandInProcess.start('vm-list');
  const url = `${this.listProcess.origin}/vms`;
  this.list = new HttpVmList({url, callTimeoutMs: CALL_TIMEOUT_MS});
});

Given('the VM list is', async function (this: VmListWorld, text: string) {
  await this.listProcess.control('PUT', '/vms', JSON.parse(text) as object);
});

Given(
  'the VM list lags by {int} ms',
  async function (this: VmListWorld, lagMs) {
    await this.listProcess.control('PUT', '/faults', {lagMs: Number(lagMs)});
  },
);

Given('the VM list is down', async function (this: VmListWorld) {
  await this.listProcess.control('PUT', '/faults', {isDown: true});
});

When('the VM list is read', async function (this: VmListWorld) {
  this.reading = await this.list.read();
});

When(
  '{int} nonsense lists are read with seed {int}',
  function (this: VmListWorld, count: number, seed: number) {
    const bodies = sampleNonsense(count, seed).map(({body}) => body);
    const wrapped = bodies.map(body => `{"vms": [${body}]}`);
    this.readings = [...bodies, ...wrapped].map(parseVmList);
  },
);

Then('it names {string}', function (this: VmListWorld, names: string) {
  const vms = this.reading.unwrap().vms;
  assert.equal(vms.map(vm => vm.name).join(', '), names);
});

Then('it names nothing', function (this: VmListWorld) {
  assert.deepEqual(this.reading.unwrap().vms, []);
});

Then(
  'its findings are at {string}',
  function (this: VmListWorld, paths: string) {
    const findings = this.reading.unwrap().findings;
    assert.equal(findings.map(({place}) => place.path).join(', '), paths);
  },
);

Then(
  'the reading failed as {string}',
  function (this: VmListWorld, kind: string) {
    assert.equal(this.reading.unwrapErr().kind, kind);
  },
);

Then(
  'every reading failed as {string} or gave typed rows',
  function (this: VmListWorld, kind: string) {
    for (const reading of this.readings) {
      if (reading.isErr()) {
        assert.equal(reading.error.kind, kind);
      } else {
        assert.ok(reading.value.vms.every(vm => vm.name.length > 0));
      }
    }
  },
);
