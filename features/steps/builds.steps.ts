/** Steps for entries of different builds side by side. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import {OlderEntry, type OlderBuild} from '../support/older-entry.js';
import {
  NEEDED,
  READERS,
  WRITERS,
  WRITTEN,
  type MessageName,
} from '../support/recorded-messages.js';

interface BuildsWorld {
  balancerSite: BalancerSite;
  older: Map<string, OlderEntry>;
}

/** Time for which a list of entries must stay as it is. */
const STEADY_MS = 2_000;

Given(
  'an announced entry {string} of build {string}',
  async function (this: BuildsWorld, name: string, build: OlderBuild) {
    const older = new OlderEntry(name, build);
    await older.listen();
    this.older ??= new Map();
    this.older.set(name, older);
    announce(this, older);
    await eventually('it is named', () => isNamed(this, name));
  },
);

After(function (this: Partial<BuildsWorld>) {
  this.older?.forEach(older => older.close());
});

When(
  '{string} tells the others that it stops',
  async function (this: BuildsWorld, name: string) {
    await tellStop(this, name);
  },
);

When(
  '{string} announces itself as one of build {string}',
  async function (this: BuildsWorld, name: string, build: OlderBuild) {
    const older = findOlder(this, name);
    older.build = build;
    this.balancerSite.store.set(`entries/${name}`, undefined);
    announce(this, older);
    await eventually('it is named', () => isNamed(this, name));
  },
);

When(
  'the others are told once more that {string} has stopped',
  async function (this: BuildsWorld, name: string) {
    await tellStop(this, name);
  },
);

Then(
  '{string} is named to callers',
  async function (this: BuildsWorld, name: string) {
    await sleep(STEADY_MS);
    assert.ok(await isNamed(this, name));
  },
);

Then(
  '{string} is not named to callers',
  async function (this: BuildsWorld, name: string) {
    await eventually(
      'it is not named',
      async () => !(await isNamed(this, name)),
    );
  },
);

Then('{string} was asked to relay', function (this: BuildsWorld, name: string) {
  assert.ok(findOlder(this, name).messages.includes('/v1/relay'));
});

Then(
  /^the (.+) of build "(.+)" is read$/,
  (message: MessageName, build: string) => {
    const text = WRITTEN[build][message];
    assert.ok(text !== undefined);
    assert.ok(READERS[message](text));
  },
);

Then(
  /^the (.+) that is written has what build "(.+)" reads$/,
  (message: MessageName, build: string) => {
    const needed = NEEDED[build][message];
    assert.ok(needed !== undefined);
    needed.parse(JSON.parse(WRITERS[message]()));
  },
);

function findOlder(world: BuildsWorld, name: string): OlderEntry {
  const older = world.older.get(name);
  assert.ok(older !== undefined);
  return older;
}

function announce({balancerSite}: BuildsWorld, {name, record}: OlderEntry) {
  balancerSite.store.set(`entries/${name}`, record);
}

async function tellStop(world: BuildsWorld, name: string): Promise<void> {
  const port = world.balancerSite.feedPortOf(0);
  const statements = [findOlder(world, name).statement(false)];
  await fetch(`http://127.0.0.1:${port}/v1/liveness`, {
    method: 'POST',
    body: JSON.stringify({statements}),
  });
}

async function isNamed(world: BuildsWorld, name: string): Promise<boolean> {
  const path = '/-/resolve?region=home&zone=home-a';
  const {body} = await world.balancerSite.get(1, path);
  return body.includes(findOlder(world, name).address);
}
