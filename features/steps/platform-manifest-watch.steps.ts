/** Steps for watching the manifest in the store. */

import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {createManifestRecord, listSubmissions} from '@wasabidyke/manifest';
import {MANIFEST_KEY, ManifestWatch} from '@wasabidyke/store';
import {MetricRegistry} from '@wasabidyke/shared';
import {eventually} from '../support/eventually.js';
import {
  createRepository,
  type ManifestContext,
} from '../support/manifest-context.js';
import {sampleNonsense} from '../support/nonsense.js';
import {createSampleManifest} from '../support/sample-manifest.js';
import {KEY_PREFIX, RecordingReporter} from '../support/store-context.js';

const POLL_MS = 100;
const BACKOFF = {minimumMs: 20, maximumMs: 200};

interface WatchWorld extends ManifestContext {
  metrics: MetricRegistry;
}

After({tags: '@store'}, function (this: WatchWorld) {
  this.watch?.close();
});

function readRefused(world: WatchWorld): number {
  const name = 'wasabidyke_store_manifest_refused_total';
  return world.metrics.counter(name, '').value;
}

async function writePast(world: WatchWorld, value: string): Promise<void> {
  const key = KEY_PREFIX + MANIFEST_KEY;
  await world.storeProcess?.control('POST', '/write', {key, value});
}

Given('the manifest is watched', function (this: WatchWorld) {
  this.handedOn = [];
  this.reporter = new RecordingReporter();
  this.metrics = new MetricRegistry();
  this.watch = new ManifestWatch({
    store: this.store,
    listener: {onRecord: record => this.handedOn.push(record)},
    pollMs: POLL_MS,
    backoff: BACKOFF,
    metrics: this.metrics,
    reporter: this.reporter,
  });
  this.watch.start();
});

When("the store's process is frozen", function (this: WatchWorld) {
  this.storeProcess?.child.kill('SIGSTOP');
});

When("the store's process is resumed", function (this: WatchWorld) {
  this.storeProcess?.child.kill('SIGCONT');
});

When('the store is restored to revision 1', async function (this: WatchWorld) {
  await writePast(this, JSON.stringify(this.handedOn[0]));
});

When('the newest record is put back', async function (this: WatchWorld) {
  const newest = this.handedOn.at(-1);
  assert.ok(newest);
  const isWritten = await createRepository(this).restore(newest);
  assert.equal(isWritten.unwrap(), true);
});

When(
  '{int} nonsense values of seed {int} are written to the manifest',
  {timeout: 60_000},
  async function (this: WatchWorld, count: number, seed: number) {
    for (const {body} of sampleNonsense(count, seed)) {
      await writePast(this, body);
    }
  },
);

When(
  'a sound revision 2 is written to the manifest',
  async function (this: WatchWorld) {
    const body = createSampleManifest('B');
    const record = createManifestRecord(2, 's2', body, this.handedOn[0]);
    assert.equal(listSubmissions(record).length, 2);
    await writePast(this, JSON.stringify(record));
  },
);

Then(
  'the watch has handed on revision {int}',
  {timeout: 30_000},
  async function (this: WatchWorld, revision: number) {
    await eventually(
      `revision ${revision}`,
      () => this.handedOn.at(-1)?.revision === revision,
    );
  },
);

Then(
  'revisions {int}, {int} were handed on',
  function (this: WatchWorld, first: number, second: number) {
    const revisions = this.handedOn.map(record => record.revision);
    assert.deepEqual(revisions, [first, second]);
  },
);

Then(
  'the manifest watch is {string}',
  {timeout: 30_000},
  async function (this: WatchWorld, state: string) {
    await eventually(state, () => this.watch?.state === state);
  },
);

Then(
  '{int} value(s) of the store was/were refused',
  {timeout: 30_000},
  async function (this: WatchWorld, count: number) {
    await eventually('refusals', () => readRefused(this) >= count);
  },
);

Then(
  '{string} was reported {int} time(s)',
  {timeout: 30_000},
  async function (this: WatchWorld, code: string, count: number) {
    await eventually(code, () => this.reporter.count(code) >= count);
    assert.equal(this.reporter.count(code), count);
  },
);
