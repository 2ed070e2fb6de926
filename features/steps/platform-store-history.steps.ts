/** Steps that compare what clients were told with the store's own history. */

import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {parseManifestRecord} from '@wasabidyke/manifest';
import type {Store, StoreError, SwapAnswer} from '@wasabidyke/store';
import type {Result} from '@wasabidyke/shared';
import {
  readHistory,
  workUnderFaults,
  type HistoryWrite,
} from '../support/fault-schedule.js';
import {
  submitMany,
  writeMany,
  type ToldSubmission,
  type ToldWrite,
} from '../support/store-work.js';
import {createClient, type StoreContext} from '../support/store-context.js';

const CALL_TIMEOUT_MS = 200;

interface HistoryWorld extends StoreContext {
  told: readonly ToldWrite[];
  submissions: readonly ToldSubmission[];
  history: readonly HistoryWrite[];
}

When(
  '{int} writers make {int} writes each under faults of seed {int}',
  {timeout: 120_000},
  async function (this: HistoryWorld, writers, writes, seed) {
    assert.ok(this.storeProcess);
    const work = async () => {
      const names = Array.from({length: writers}, (_, index) => `w${index}`);
      const all = names.map(name => writeMany(newClient(this), name, writes));
      return (await Promise.all(all)).flat();
    };
    this.told = await workUnderFaults(this.storeProcess, seed, work);
    this.history = await readHistory(this.storeProcess);
  },
);

When(
  '{int} operators submit {int} manifests each under faults of seed {int}',
  {timeout: 300_000},
  async function (this: HistoryWorld, operators, manifests, seed) {
    assert.ok(this.storeProcess);
    const work = async () => {
      const names = Array.from({length: operators}, (_, index) => `o${index}`);
      const all = names.map(name =>
        submitMany(newClient(this), name, manifests),
      );
      return (await Promise.all(all)).flat();
    };
    this.submissions = await workUnderFaults(this.storeProcess, seed, work);
    this.history = await readHistory(this.storeProcess);
  },
);

Then(
  'the history holds every write told as done, and none told as not done',
  function (this: HistoryWorld) {
    const values = this.history.map(({value}) => value);
    assert.equal(new Set(values).size, values.length);
    const done = this.told.filter(({swap}) => isDone(swap));
    assert.ok(done.length > 0);
    for (const {value} of done) {
      assert.ok(values.includes(value), `${value} is missing`);
    }
    for (const {value, swap} of this.told.filter(each =>
      isNotDone(each.swap),
    )) {
      assert.ok(!values.includes(value), `${value}: ${JSON.stringify(swap)}`);
    }
  },
);

Then(
  'the revisions in the history rise by one, each from one submission',
  function (this: HistoryWorld) {
    const records = readRecords(this.history);
    const expected = records.map((_, index) => index + 1);
    assert.deepEqual(
      records.map(({revision}) => revision),
      expected,
    );
    const identities = records.map(({submission}) => submission);
    assert.equal(new Set(identities).size, identities.length);
  },
);

Then(
  'the history holds every submission told as accepted, and none told as superseded',
  function (this: HistoryWorld) {
    const revisions = new Map(
      readRecords(this.history).map(each => [each.submission, each.revision]),
    );
    const told = this.submissions;
    assert.ok(told.some(({outcome}) => outcome.outcome === 'accepted'));
    for (const {submission, outcome} of told) {
      if ('revision' in outcome) {
        assert.equal(revisions.get(submission), outcome.revision);
      } else if (outcome.outcome !== 'unknown') {
        assert.equal(revisions.get(submission), undefined, submission);
      }
    }
  },
);

function newClient(world: HistoryWorld): Store {
  const client = createClient(world, {callTimeoutMs: CALL_TIMEOUT_MS});
  world.stores?.push(client);
  return client;
}

function isDone(swap: Result<SwapAnswer, StoreError>): boolean {
  return swap.isOk() && swap.value.isSwapped;
}

function isNotDone(swap: Result<SwapAnswer, StoreError>): boolean {
  return swap.isOk()
    ? !swap.value.isSwapped
    : ['unreachable', 'refused', 'rate-limited'].includes(swap.error.kind);
}

function readRecords(history: readonly HistoryWrite[]) {
  return history.map(({value}) => {
    const record = parseManifestRecord(value ?? '');
    assert.ok(record);
    return record;
  });
}
