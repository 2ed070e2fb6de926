/** Steps for what the store's clients do with raw bytes, large answers and too much of anything. */

import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {StoreError, SwapAnswer} from '@wasabidyke/store';
import type {Result} from '@wasabidyke/shared';
import fc from 'fast-check';
import {eventually} from '../support/eventually.js';
import {RawServer} from '../support/raw-server.js';
import {
  createClient,
  useStore,
  type StoreContext,
} from '../support/store-context.js';

const MEBIBYTE = 1_024 * 1_024;

interface ReceivedSwap {
  readonly swap: Result<SwapAnswer, StoreError>;
  readonly wasReceived: boolean;
}

interface BoundsWorld extends StoreContext {
  rawServer?: RawServer;
  writes: ReadonlyArray<Result<SwapAnswer, StoreError>>;
  swaps: ReceivedSwap[];
  watchEnds: StoreError[];
  watchStarts: number;
}

After({tags: '@store'}, function (this: BoundsWorld) {
  this.rawServer?.close();
});

Given(
  'a server that answers {int} calls with raw bytes of seed {int}',
  async function (this: BoundsWorld, count: number, seed: number) {
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

Given('a server that answers with 5 MiB', async function (this: BoundsWorld) {
  const head = `HTTP/1.1 200 OK\r\ncontent-length: ${5 * MEBIBYTE}\r\n\r\n`;
  await serveRaw(this, [encode(head + ' '.repeat(5 * MEBIBYTE))]);
});

When(
  '{string} is swapped from version {int} to {string} for each of them',
  {timeout: 60_000},
  async function (this: BoundsWorld, key, expectedVersion, value) {
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
  async function (this: BoundsWorld, key: string, count: number) {
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
  async function (this: BoundsWorld, count: number) {
    const writes = [];
    for (let index = 0; index < count; index++) {
      const value = `k${index}`;
      const options = {key: value, expectedVersion: 0, value};
      writes.push(await this.store.compareAndSwap(options));
    }
    this.writes = writes;
  },
);

Then(
  '{int} were written and {int} was refused',
  function (this: BoundsWorld, written: number, refused: number) {
    const failed = this.writes.filter(write => write.isErr());
    assert.equal(this.writes.length - failed.length, written);
    assert.equal(failed.length, refused);
    assert.ok(failed.every(write => write.unwrapErr().kind === 'refused'));
  },
);

Then(
  '{int} watches stand and {int} ended as {string}',
  function (this: BoundsWorld, stand: number, ended: number, kind: string) {
    assert.equal(this.watchStarts, stand);
    assert.deepEqual(
      this.watchEnds.map(error => error.kind),
      Array.from({length: ended}, () => kind),
    );
  },
);

Then(
  'no swap whose bytes were received failed as {string}',
  function (this: BoundsWorld, kind: string) {
    const received = this.swaps.filter(({wasReceived}) => wasReceived);
    assert.ok(received.length > 0);
    for (const {swap} of received) {
      assert.notEqual(swap.unwrapErr().kind, kind);
    }
  },
);

Then('every swap failed with a typed error', function (this: BoundsWorld) {
  for (const {swap} of this.swaps) {
    const {kind} = swap.unwrapErr();
    assert.ok(['unknown-outcome', 'malformed', 'refused'].includes(kind), kind);
  }
});

function encode(text: string): Uint8Array {
  return Buffer.from(text, 'utf8');
}

async function serveRaw(
  world: BoundsWorld,
  answers: readonly Uint8Array[],
): Promise<void> {
  world.rawServer = await RawServer.listen(answers);
  const endpoints = [world.rawServer.origin];
  useStore(world, createClient(world, {endpoints}));
}
