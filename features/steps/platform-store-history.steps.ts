/** Steps that compare what clients were told with the store's own history. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {parseManifestRecord} from '@wasabidyke/manifest';
import {
  ManifestRepository,
  type Store,
  type StoreError,
  type SubmissionOutcome,
  type SwapAnswer,
} from '@wasabidyke/platform';
import {SystemClock, type Result} from '@wasabidyke/shared';
import fc from 'fast-check';
import {eventually} from '../support/eventually.js';
import {
  readHistory,
  workUnderFaults,
  type HistoryWrite,
} from '../support/fault-schedule.js';
import {RawServer} from '../support/raw-server.js';
import {createSampleManifest} from '../support/sample-manifest.js';
import {
  createClient,
  useStore,
  type StoreContext,
} from '../support/store-context.js';

const CALL_TIMEOUT_MS = 200;
const SETTLE_TIMEOUT_MS = 500;
const WRITE_PAUSE_MS = 10;
const SUBMISSION_PAUSE_MS = 50;
const MEBIBYTE = 1_024 * 1_024;

interface Told {
  readonly value: string;
  readonly swap: Result<SwapAnswer, StoreError>;
}

interface ToldSubmission {
  readonly submission: string;
  readonly outcome: SubmissionOutcome;
}

interface HistoryWorld extends StoreContext {
  rawServer?: RawServer;
  told: readonly Told[];
  submissions: readonly ToldSubmission[];
  history: readonly HistoryWrite[];
  swap: Result<SwapAnswer, StoreError>;
  swaps: Array<{swap: Result<SwapAnswer, StoreError>; wasReceived: boolean}>;
  watchEnds: StoreError[];
  watchStarts: number;
}

After({tags: '@store'}, function (this: HistoryWorld) {
  this.rawServer?.close();
});

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

Given(
  'a server that answers {int} calls with raw bytes of seed {int}',
  async function (this: HistoryWorld, count: number, seed: number) {
    const answer = fc.oneof(
      fc.uint8Array({maxLength: 64}),
      fc.string().map(text => encode(`HTTP/1.1 ${text}\r\n\r\n`)),
      fc
        .string()
        .map(text => encode(`HTTP/1.1 200 OK\r\ncontent-length: 9${text}`)),
      fc.constant(encode('HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{}')),
    );
    await serveRaw(this, fc.sample(answer, {numRuns: count, seed}));
    this.swaps = Array.from({length: count});
  },
);

Given('a server that answers with 5 MiB', async function (this: HistoryWorld) {
  const head = `HTTP/1.1 200 OK\r\ncontent-length: ${5 * MEBIBYTE}\r\n\r\n`;
  await serveRaw(this, [encode(head + ' '.repeat(5 * MEBIBYTE))]);
});

When(
  '{string} is swapped from version {int} to {string} for each of them',
  {timeout: 60_000},
  async function (this: HistoryWorld, key, expectedVersion, value) {
    const server = this.rawServer;
    assert.ok(server);
    for (let index = 0; index < this.swaps.length; index++) {
      const before = server.received;
      const options = {key, expectedVersion, value};
      const swap = await this.store.compareAndSwap(options);
      this.swaps[index] = {swap, wasReceived: server.received > before};
    }
  },
);

When(
  '{string} is watched {int} times',
  async function (this: HistoryWorld, key: string, count: number) {
    this.watchEnds = [];
    this.watchStarts = 0;
    for (let index = 0; index < count; index++) {
      this.store.watch(key, {
        onStart: () => (this.watchStarts += 1),
        onValue: () => {},
        onEnd: error => this.watchEnds.push(error),
      });
    }
    await eventually(
      `${count} watches`,
      () => this.watchStarts + this.watchEnds.length === count,
    );
  },
);

When(
  '{int} keys are written',
  async function (this: HistoryWorld, count: number) {
    this.told = [];
    for (let index = 0; index < count; index++) {
      const value = `k${index}`;
      const options = {key: value, expectedVersion: 0, value};
      const swap = await this.store.compareAndSwap(options);
      this.told = [...this.told, {value, swap}];
    }
  },
);

Then(
  '{int} were written and {int} was refused',
  function (this: HistoryWorld, written: number, refused: number) {
    const failed = this.told.filter(({swap}) => swap.isErr());
    assert.equal(this.told.length - failed.length, written);
    assert.equal(failed.length, refused);
    assert.ok(failed.every(({swap}) => swap.unwrapErr().kind === 'refused'));
  },
);

Then(
  '{int} watches stand and {int} ended as {string}',
  function (this: HistoryWorld, stand: number, ended: number, kind: string) {
    assert.equal(this.watchStarts, stand);
    assert.deepEqual(
      this.watchEnds.map(error => error.kind),
      Array.from({length: ended}, () => kind),
    );
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

Then(
  'no swap whose bytes were received failed as {string}',
  function (this: HistoryWorld, kind: string) {
    const received = this.swaps.filter(({wasReceived}) => wasReceived);
    assert.ok(received.length > 0);
    for (const {swap} of received) {
      assert.notEqual(swap.unwrapErr().kind, kind);
    }
  },
);

Then('every swap failed with a typed error', function (this: HistoryWorld) {
  for (const {swap} of this.swaps) {
    const {kind} = swap.unwrapErr();
    assert.ok(['unknown-outcome', 'malformed', 'refused'].includes(kind), kind);
  }
});

function encode(text: string): Uint8Array {
  return Buffer.from(text, 'utf8');
}

async function serveRaw(
  world: HistoryWorld,
  answers: readonly Uint8Array[],
): Promise<void> {
  world.rawServer = await RawServer.listen(answers);
  const endpoints = [world.rawServer.origin];
  useStore(world, createClient(world, {endpoints}));
}

function newClient(world: HistoryWorld): Store {
  const client = createClient(world, {callTimeoutMs: CALL_TIMEOUT_MS});
  world.stores?.push(client);
  return client;
}

async function writeMany(
  store: Store,
  key: string,
  count: number,
): Promise<readonly Told[]> {
  const told: Told[] = [];
  let expectedVersion = 0;
  for (let index = 0; index < count; index++) {
    const value = `${key}-${index}`;
    const swap = await store.compareAndSwap({key, expectedVersion, value});
    told.push({value, swap});
    const read = await store.read(key);
    await sleep(WRITE_PAUSE_MS);
    expectedVersion = read.isOk()
      ? (read.value?.version ?? 0)
      : expectedVersion;
  }
  return told;
}

async function submitMany(
  store: Store,
  operator: string,
  count: number,
): Promise<readonly ToldSubmission[]> {
  const repository = new ManifestRepository({
    store,
    clock: new SystemClock(),
    settleTimeoutMs: SETTLE_TIMEOUT_MS,
  });
  const told: ToldSubmission[] = [];
  let basedOn = 0;
  for (let index = 0; index < count; index++) {
    const submission = `${operator}-${index}`;
    const body = createSampleManifest(submission);
    let outcome: SubmissionOutcome;
    do {
      outcome = await repository.submit({body, basedOn, submission});
      told.push({submission, outcome});
    } while (outcome.outcome === 'unknown');
    basedOn = toNextBase(outcome, basedOn);
    await sleep(SUBMISSION_PAUSE_MS);
  }
  return told;
}

function toNextBase(outcome: SubmissionOutcome, basedOn: number): number {
  if ('presentRevision' in outcome) {
    return outcome.presentRevision;
  }
  return 'revision' in outcome ? outcome.revision : basedOn;
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
