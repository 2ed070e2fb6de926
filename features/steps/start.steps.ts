/** Steps for the command that runs the whole product. */

import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {After, Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {request} from 'undici';
import {eventually} from '../support/eventually.js';
import {run, type CommandWorld} from './command-line.steps.js';

/** Tells which upstreams have requests in flight. */
const UPSTREAMS_PATH = '/v1/upstreams';

interface StartWorld extends CommandWorld {
  startScript?: ChildProcess;
  printed: string;
  answer: Promise<number>;
}

interface InFlightRow {
  readonly inFlight: number;
}

function launch(world: StartWorld, words: string): ChildProcess {
  const script = spawn(
    process.execPath,
    words
      .split(' ')
      .map((word, index) => (index === 0 ? `scripts/${word}` : word)),
    {stdio: ['ignore', 'pipe', 'pipe']},
  );
  world.startScript = script;
  world.printed = '';
  for (const stream of [script.stdout, script.stderr]) {
    stream.on('data', chunk => (world.printed += String(chunk)));
  }
  return script;
}

function findAddress(world: StartWorld, label: string): string {
  const match = new RegExp(`${label}: +(http://\\S+)`).exec(world.printed);
  return match?.[1] ?? '';
}

async function waitForEnd({startScript}: StartWorld): Promise<void> {
  if (startScript?.exitCode === null && startScript.signalCode === null) {
    await once(startScript, 'exit');
  }
}

After(async function (this: StartWorld) {
  if (this.startScript !== undefined) {
    this.startScript.kill('SIGTERM');
    await waitForEnd(this);
  }
});

When('{string} has run to its end', async function (this: StartWorld, words) {
  launch(this, words);
  await waitForEnd(this);
});

Given('{string} runs', async function (this: StartWorld, words: string) {
  launch(this, words);
  await eventually('its addresses', () =>
    this.printed.includes('Stop with Ctrl-C.'),
  );
});

Given(
  'an upload to it takes {int} ms',
  async function (this: StartWorld, workMs: number) {
    const callers = findAddress(this, 'Callers');
    const url = `${callers}/shop/photos/1?workMs=${workMs}`;
    const sent = request(url, {method: 'PUT', body: 'photo'});
    this.answer = sent.then(async ({statusCode, body}) => {
      await body.dump();
      return statusCode;
    });
    const operators = findAddress(this, 'Operators');
    await eventually('the upload in flight', async () => {
      const answer = await request(`${operators}${UPSTREAMS_PATH}`);
      const {upstreams} = (await answer.body.json()) as {
        upstreams: readonly InFlightRow[];
      };
      return upstreams.some(({inFlight}) => inFlight > 0);
    });
  },
);

When(
  /^it gets the signal (SIGINT|SIGTERM)$/,
  function (this: StartWorld, signal: 'SIGINT' | 'SIGTERM') {
    this.startScript?.kill(signal);
  },
);

Then(
  'the upload is answered with status {int}',
  async function (this: StartWorld, status: number) {
    assert.equal(await this.answer, status);
  },
);

Then(
  'it ended with status {int}',
  async function (this: StartWorld, status: number) {
    await waitForEnd(this);
    assert.equal(this.startScript?.exitCode, status, this.printed);
  },
);

Then(
  'it printed answers with status {int} to',
  function (this: StartWorld, status: number, table: DataTable) {
    const lines = this.printed.split('\n');
    for (const {request: expected} of table.hashes()) {
      const [before, after] = expected.split('<callers>');
      const index = lines.findIndex(
        line => line.startsWith(before) && line.endsWith(after),
      );
      assert.notEqual(index, -1, this.printed);
      assert.ok(lines[index + 1].startsWith(`${status} `), lines[index + 1]);
    }
  },
);

When(
  'the operator runs {string} against it',
  async function (this: StartWorld, words: string) {
    this.entryAddress = new URL(findAddress(this, 'Operators')).host;
    await run(this, words);
  },
);
