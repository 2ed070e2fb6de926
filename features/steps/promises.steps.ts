/** Steps that run the proof of a promise with real processes. */

import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import {text} from 'node:stream/consumers';
import {Then, When} from '@cucumber/cucumber';

interface PromisesWorld {
  output: string;
  status: number | null;
}

const RUN_TIMEOUT = {timeout: 120_000};

const require = createRequire(import.meta.url);
const PROGRAM = join(dirname(require.resolve('@wasabidyke/prove')), 'main.js');

async function prove(
  world: PromisesWorld,
  ...programArguments: readonly string[]
): Promise<void> {
  const child = spawn(process.execPath, [PROGRAM, ...programArguments], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [output, [status]] = await Promise.all([
    text(child.stdout),
    once(child, 'exit'),
  ]);
  world.output = output;
  world.status = status as number | null;
}

When(
  'the promise {string} is tried with seed {int}',
  RUN_TIMEOUT,
  async function (this: PromisesWorld, promise: string, seed: number) {
    await prove(this, '--promise', promise, '--seed', String(seed));
  },
);

When(
  'it is tried with {string} and seed {int}',
  RUN_TIMEOUT,
  async function (this: PromisesWorld, weakened: string, seed: number) {
    await prove(this, '--weakened', weakened, '--seed', String(seed));
  },
);

Then('no violation is found', function (this: PromisesWorld) {
  assert.match(this.output, /\nviolations: 0\n$/, this.output);
  assert.equal(this.status, 0);
});

Then(
  'violations of {string} are found',
  function (this: PromisesWorld, promise: string) {
    const found = new RegExp(
      `^${promise}: .* trials, [1-9]\\d* violations$`,
      'm',
    );
    assert.match(this.output, found, this.output);
    assert.equal(this.status, 1);
  },
);
