/** Steps for submitting manifests to the store. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {parseManifest} from '@wasabidyke/manifest';
import type {ManifestSubmission, SubmissionOutcome} from '@wasabidyke/store';
import {eventually} from '../support/eventually.js';
import {
  createRepository,
  type ManifestContext,
} from '../support/manifest-context.js';
import {sampleNonsense} from '../support/nonsense.js';
import {
  createSampleManifest,
  type SampleOptions,
} from '../support/sample-manifest.js';
import {createClient} from '../support/store-context.js';

const OUTCOMES = [
  'accepted',
  'already-accepted',
  'superseded',
  'rejected',
  'unknown',
];

interface RepositoryWorld extends ManifestContext {
  races: ReadonlyArray<readonly SubmissionOutcome[]>;
  outcomes: SubmissionOutcome[];
}

function toSubmission(
  name: string,
  submission: string,
  basedOn: number,
  options?: SampleOptions,
): ManifestSubmission {
  return {body: createSampleManifest(name, options), basedOn, submission};
}

async function submit(
  world: RepositoryWorld,
  submission: ManifestSubmission,
): Promise<void> {
  world.outcome = await createRepository(world).submit(submission);
}

Given(
  'the submitter gives up after {int} s',
  function (this: RepositoryWorld, seconds: number) {
    this.settleTimeoutMs = seconds * 1_000;
  },
);

When(
  'manifest {string} is submitted as {string} based on {int}',
  {timeout: 30_000},
  async function (this: RepositoryWorld, name, identity, basedOn) {
    await submit(this, toSubmission(name, identity, basedOn));
  },
);

When(
  'manifest {string} with its orders made idempotent is submitted as {string} based on {int}',
  async function (this: RepositoryWorld, name, identity, basedOn) {
    const options = {orderKind: 'idempotent'} as const;
    await submit(this, toSubmission(name, identity, basedOn, options));
  },
);

When(
  /^manifest "(.*)" with (\d+) (letters|quotation marks) of comment is submitted as "(.*)" based on 0$/,
  async function (this: RepositoryWorld, name, count, what, identity) {
    const character = what === 'letters' ? 'x' : '"';
    const options = {comment: character.repeat(Number(count))};
    await submit(this, toSubmission(name, identity, 0, options));
  },
);

When(
  'manifest {string} is submitted as an identity of {int} letters based on {int}',
  async function (this: RepositoryWorld, name, length, basedOn) {
    const identity = 'x'.repeat(Number(length));
    await submit(this, toSubmission(name, identity, basedOn));
  },
);

When(
  'manifest {string} is submitted as {string} based on {int} by one who knows what was handed on',
  async function (this: RepositoryWorld, name, identity, basedOn) {
    const repository = createRepository(this, () => this.handedOn.at(-1));
    const submission = toSubmission(name, identity, basedOn);
    this.outcome = await repository.submit(submission);
  },
);

When(
  'two operators race {int} times',
  {timeout: 60_000},
  async function (this: RepositoryWorld, count: number) {
    const clients = [createClient(this), createClient(this)];
    this.stores?.push(...clients);
    const repositories = clients.map(store =>
      createRepository({...this, store}),
    );
    const races = [];
    for (let basedOn = 0; basedOn < count; basedOn++) {
      const outcomes = repositories.map((repository, index) =>
        repository.submit(
          toSubmission(`m${index}`, `race-${basedOn}-${index}`, basedOn),
        ),
      );
      races.push(await Promise.all(outcomes));
    }
    this.races = races;
  },
);

When(
  '{int} manifests are submitted one after another',
  {timeout: 120_000},
  async function (this: RepositoryWorld, count: number) {
    for (let basedOn = 0; basedOn < count; basedOn++) {
      await submit(this, toSubmission('A', `n${basedOn + 1}`, basedOn));
      assert.equal(this.outcome.outcome, 'accepted');
    }
  },
);

When(
  /^the (first|second) of them is submitted again$/,
  async function (this: RepositoryWorld, which: string) {
    const number = which === 'first' ? 1 : 2;
    await submit(this, toSubmission('A', `n${number}`, number - 1));
  },
);

When(
  '{int} submissions are answered with nonsense of seed {int}',
  {timeout: 120_000},
  async function (this: RepositoryWorld, count: number, seed: number) {
    this.settleTimeoutMs = 1;
    this.outcomes = [];
    for (const fixedAnswer of sampleNonsense(count, seed)) {
      await this.storeProcess?.control('PUT', '/faults', {fixedAnswer});
      await submit(this, toSubmission('A', 's1', 0));
      this.outcomes.push(this.outcome);
    }
  },
);

Then(
  'the outcome is {string} at revision {int}',
  function (this: RepositoryWorld, outcome: string, revision: number) {
    assert.deepEqual(this.outcome, {outcome, revision});
  },
);

Then(
  'the outcome is {string} by revision {int}',
  function (this: RepositoryWorld, outcome: string, presentRevision: number) {
    assert.deepEqual(this.outcome, {outcome, presentRevision});
  },
);

Then(
  /^the outcome is "unknown" (after a|before any) write was sent$/,
  function (this: RepositoryWorld, when: string) {
    assert.ok(this.outcome.outcome === 'unknown', this.outcome.outcome);
    assert.equal(this.outcome.wasSent, when === 'after a');
  },
);

Then(
  'the outcome is {string} with {string}',
  function (this: RepositoryWorld, outcome: string, code: string) {
    assert.equal(this.outcome.outcome, outcome);
    assert.ok(this.outcome.outcome === 'rejected');
    assert.deepEqual(
      this.outcome.findings.map(finding => finding.code),
      [code],
    );
  },
);

Then(
  "the store's manifest is {string} at revision {int}",
  async function (this: RepositoryWorld, name: string, revision: number) {
    const record = (await createRepository(this).read()).unwrap();
    assert.equal(record?.revision, revision);
    const manifest = parseManifest('test', record.body).unwrap();
    assert.equal(manifest.name, name.toLowerCase());
  },
);

Then(
  "the store's history has {int} write(s)",
  async function (this: RepositoryWorld, count: number) {
    const read = async () => {
      const text = await this.storeProcess?.control('GET', '/history');
      return (text ?? '').split('\n').filter(line => line !== '').length;
    };
    await eventually(`${count} writes`, async () => (await read()) >= count);
    assert.equal(await read(), count);
  },
);

Then(
  'in each race one was accepted and the other superseded by it',
  function (this: RepositoryWorld) {
    for (const [index, race] of this.races.entries()) {
      const kinds = race.map(({outcome}) => outcome).toSorted();
      assert.deepEqual(kinds, ['accepted', 'superseded']);
      for (const outcome of race) {
        const revision =
          outcome.outcome === 'superseded'
            ? outcome.presentRevision
            : outcome.outcome === 'accepted' && outcome.revision;
        assert.equal(revision, index + 1);
      }
    }
  },
);

Then('every outcome is typed', function (this: RepositoryWorld) {
  assert.ok(this.outcomes.length > 0);
  for (const {outcome} of this.outcomes) {
    assert.ok(OUTCOMES.includes(outcome), outcome);
  }
});
