/** Steps for the operators' command line. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {After, Before, Given, Then, When} from '@cucumber/cucumber';
import {createOperatorServer, type OperatorServer} from '@wasabidyke/operator';
import {runCommandLine, type CommandRun} from '../support/command-line.js';
import {GOOD_MANIFEST} from '../support/good-manifest.js';
import {
  FixedOperatorService,
  SUBMISSION_ANSWERS,
} from '../support/operator-service.js';

const GOOD_SETTINGS = {
  name: 'entry-1',
  vm: 'vm-1',
  region: 'north',
  zone: 'north-a',
  callers: {address: '127.0.0.1:8080'},
  operators: {address: '127.0.0.1:8082'},
  platform: {kind: 'embedded', manifestFile: 'manifest.jsonc'},
};

const CONTENTS: Readonly<Record<string, string>> = {
  'a good manifest': JSON.stringify(GOOD_MANIFEST),
  'good settings': JSON.stringify(GOOD_SETTINGS),
};

/** State of a scenario about the command line. */
export interface CommandWorld {
  commandDirectory: string;
  service: FixedOperatorService;
  commandServers: OperatorServer[];
  silentEntry: Server | undefined;
  entryAddress: string;
  run: CommandRun;
}

/** Serves a service on a free port, until the scenario ends. */
export async function serveEntry(
  world: CommandWorld,
  service: FixedOperatorService,
  token?: string,
): Promise<string> {
  const server = createOperatorServer({
    address: '127.0.0.1:0',
    service,
    token,
    onError: error => assert.fail(error),
  });
  world.commandServers.push(server);
  return (await server.listen()).unwrap();
}

/** Runs the command line in the scenario's directory. */
export async function run(
  world: CommandWorld,
  words: string,
  environment: NodeJS.ProcessEnv = {},
): Promise<void> {
  world.run = await runCommandLine(
    words.split(' ').filter(word => word !== ''),
    world.commandDirectory,
    {WASABIDYKE_ENTRY: world.entryAddress, ...environment},
  );
}

Before(function (this: CommandWorld) {
  this.commandServers = [];
});

After(async function (this: CommandWorld) {
  await Promise.all(this.commandServers.map(server => server.close()));
  this.silentEntry?.close();
  if (this.commandDirectory) {
    await rm(this.commandDirectory, {recursive: true});
  }
});

async function writeInput(world: CommandWorld, file: string, content: string) {
  world.commandDirectory ??= await mkdtemp(join(tmpdir(), 'wasabidyke-'));
  await writeFile(join(world.commandDirectory, file), content);
}

Given(
  /^a file "([^"]*)" with (.*)$/,
  async function (this: CommandWorld, file: string, content: string) {
    await writeInput(this, file, CONTENTS[content] ?? content);
  },
);

async function startEntry(world: CommandWorld, token?: string) {
  world.service = new FixedOperatorService();
  world.entryAddress = await serveEntry(world, world.service, token);
}

Given('an entry', async function (this: CommandWorld) {
  await startEntry(this);
});

Given(
  'an entry with the token {string}',
  async function (this: CommandWorld, token: string) {
    await startEntry(this, token);
  },
);

Given(
  'an entry that answers a submission with {string}',
  async function (this: CommandWorld, outcome: string) {
    await startEntry(this);
    this.service.answer = SUBMISSION_ANSWERS[outcome];
  },
);

Given('an entry that has stopped', async function (this: CommandWorld) {
  await startEntry(this);
  await this.commandServers[0].close();
});

Given('an entry that never answers', async function (this: CommandWorld) {
  this.silentEntry = createServer(socket => socket.unref());
  this.silentEntry.listen(0, '127.0.0.1');
  await once(this.silentEntry, 'listening');
  const bound = this.silentEntry.address();
  assert(bound !== null && typeof bound === 'object');
  this.entryAddress = `127.0.0.1:${bound.port}`;
});

When(
  'the operator runs {string}',
  async function (this: CommandWorld, words: string) {
    await run(this, words);
  },
);

When(
  'the operator runs {string} with the token {string} in the environment',
  async function (this: CommandWorld, words: string, token: string) {
    await run(this, words, token === '' ? {} : {WASABIDYKE_TOKEN: token});
  },
);

Then('the exit status is {int}', function (this: CommandWorld, status: number) {
  assert.equal(this.run.status, status, this.run.messages);
});

Then(
  'the messages contain {string}',
  function (this: CommandWorld, text: string) {
    assert(this.run.messages.includes(text), this.run.messages);
  },
);

Then(
  /^the output contains "(.*)"$/,
  function (this: CommandWorld, text: string) {
    assert(this.run.output.includes(text), this.run.output);
  },
);

Then(
  'the output is JSON with {int} findings',
  function (this: CommandWorld, count: number) {
    assert.equal(JSON.parse(this.run.output).findings.length, count);
  },
);

Then(
  'the output is JSON with the outcome {string} and the submission {string}',
  function (this: CommandWorld, outcome: string, submission: string) {
    const answer = JSON.parse(this.run.output);
    assert.deepEqual(
      [answer.outcome, answer.submission],
      [outcome, submission],
    );
    assert.equal(this.service.submissions[0].submission, submission);
  },
);

Then(
  /^the output is JSON that contains "(.*)"$/,
  function (this: CommandWorld, text: string) {
    const compact = JSON.stringify(JSON.parse(this.run.output));
    assert(compact.includes(text), compact);
  },
);

Then(
  'the first two submissions have the same identity and the third another',
  function (this: CommandWorld) {
    const {submissions} = this.service;
    const [first, second, third] = submissions.map(
      ({submission}) => submission,
    );
    assert.equal(first, second);
    assert.notEqual(first, third);
  },
);
