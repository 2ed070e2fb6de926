/** Steps for requests that crash the workers that run them, sent to several balancers. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  EntryClient,
  PeerNotifier,
  SuspectAnnouncer,
} from '@wasabidyke/balancer';
import {CrashGuard, SeededRandom, type SuspectRecord} from '@wasabidyke/policy';
import {SystemClock} from '@wasabidyke/shared';
import {
  BalancerSite,
  type CallerAnswer,
  type CallerRequest,
} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import {MemoryLog} from '../support/memory-log.js';
import type {CallerHabit} from '../support/worker-ending.js';

/** Pause between sends, in milliseconds, and the one of callers that don't wait for their answers. */
const PAUSE_MS = 50;
const HASTY_PAUSE_MS = 200;

/** Sends after which a request that isn't refused should have crashed enough workers. */
const MOST_SENDS = 60;

const OTHER_CALLER = '127.0.0.2';

/** Time in which a configuration is in force at all entries, in milliseconds. */
const CONFIGURED_MS = 2_500;

/** Name of the announcer that is tried by itself, the pause between what it announces, and the time for all of it, in milliseconds. */
const ANNOUNCER = 'announcer';
const ANNOUNCING_PAUSE_MS = 120;
const ANNOUNCING_TIMEOUT_MS = 60_000;

interface CrashWorld {
  balancerSite: BalancerSite;
  request: CallerRequest;
  /** What the caller of the request does; undefined if it waits for its answer. */
  habit: CallerHabit | undefined;
  /** The entry that all sends go to; undefined if they go to all in turn. */
  onlyEntry: number | undefined;
  lastAnswer: CallerAnswer;
  reachedBefore: number;
  lookUps: CallerRequest[];
  guard: CrashGuard;
  announcer: SuspectAnnouncer;
}

Given(
  '{int} balancers on the platform',
  async function (this: CrashWorld, count: number) {
    this.balancerSite = new BalancerSite();
    for (let index = 0; index < count; index++) {
      await this.balancerSite.addEntry();
    }
  },
);

Given(
  '{string} is sent to the entries in turn until it has crashed {int} worker(s)',
  async function (this: CrashWorld, line: string, crashes: number) {
    this.request = toRequest(line);
    await sendUntilCrashed(this, crashes);
  },
);

Given(
  '{string} is sent to entry {int} until it has crashed {int} workers',
  async function (
    this: CrashWorld,
    line: string,
    entry: number,
    crashes: number,
  ) {
    this.request = toRequest(line);
    this.onlyEntry = entry - 1;
    await sendUntilCrashed(this, crashes);
  },
);

Given(
  '{string} is sent to the entries in turn until it has crashed {int} workers, each beside {int} look-ups',
  async function (
    this: CrashWorld,
    line: string,
    crashes: number,
    beside: number,
  ) {
    this.request = toRequest(line);
    this.lookUps = [];
    await sendUntilCrashed(this, crashes, beside);
  },
);

Given(
  '{string} is sent {int} time(s)',
  async function (this: CrashWorld, line: string, count: number) {
    this.request = toRequest(line);
    await sendInTurn(this, count);
  },
);

When(
  'it is sent {int} time(s) more',
  async function (this: CrashWorld, count: number) {
    this.reachedBefore = reachedWorkers(this);
    await sendInTurn(this, count);
  },
);

Given(
  'routes that allow {int} attempts',
  async function (this: CrashWorld, attempts: number) {
    this.balancerSite.configure({}, attempts);
    await sleep(CONFIGURED_MS);
  },
);

Given('an announcer of suspects', function (this: CrashWorld) {
  this.guard = new CrashGuard({
    reporter: ANNOUNCER,
    quarantineCrashes: 3,
    countsOverlapping: false,
    sameCrashMs: Infinity,
  });
  const log = new MemoryLog();
  this.announcer = new SuspectAnnouncer({
    store: this.balancerSite.store,
    readStored: () => undefined,
    guard: this.guard,
    notifier: new PeerNotifier({
      peers: () => [],
      client: new EntryClient(),
      log,
    }),
    clock: new SystemClock(),
    random: new SeededRandom(1),
    log,
  });
});

When(
  'it announces {int} requests with one crash each, and then one with {int} crashes',
  {timeout: ANNOUNCING_TIMEOUT_MS},
  async function (this: CrashWorld, count: number, crashes: number) {
    for (let index = 0; index < count; index++) {
      this.announcer.announce(reportCrashes(this.guard, `chance-${index}`, 1));
      await sleep(ANNOUNCING_PAUSE_MS);
    }
    this.announcer.announce(reportCrashes(this.guard, 'guilty', crashes));
  },
);

Then(
  'the store has at most {int} records of suspects, among them the last',
  async function (this: CrashWorld, most: number) {
    const last = `suspects/guilty/${ANNOUNCER}`;
    await eventually('it is there', () => listSuspectKeys(this).includes(last));
    const {length} = listSuspectKeys(this);
    assert.ok(length <= most, `${length} records`);
    this.announcer.stop();
  },
);

When('another balancer joins', async function (this: CrashWorld) {
  await this.balancerSite.addEntry();
  await this.balancerSite.ready();
});

When('all balancers are replaced', async function (this: CrashWorld) {
  await this.balancerSite.replaceEntries();
  await this.balancerSite.ready();
});

When('the store loses its records of suspects', function (this: CrashWorld) {
  const {store} = this.balancerSite;
  const keys = listSuspectKeys(this);
  assert.ok(keys.length > 0);
  keys.forEach(key => store.set(key, undefined));
  assert.equal(listSuspectKeys(this).length, 0);
});

Then(
  'the store soon has records of suspects again',
  async function (this: CrashWorld) {
    await eventually(
      'they are written',
      () => listSuspectKeys(this).length > 0,
    );
  },
);

When('workers no longer crash at it', function (this: CrashWorld) {
  for (const worker of this.balancerSite.workers) {
    worker.isCrashable = false;
  }
});

Then('no entry has a suspect soon', async function (this: CrashWorld) {
  const {balancerSite} = this;
  assert.equal(this.lastAnswer.status, 200);
  for (let entry = 0; entry < balancerSite.entries; entry++) {
    await eventually('there is no suspect', async () => {
      const {body} = await balancerSite.get(2, '/metrics', entry);
      return body.includes('wasabidyke_suspects 0\n');
    });
  }
});

When(
  "the store shows bytes that can't be read as a record of a suspect",
  function (this: CrashWorld) {
    this.balancerSite.store.set('suspects/fingerprint/entry-9', '\u0000{]');
  },
);

Then(
  'it reached workers at most {int} times more',
  function (this: CrashWorld, most: number) {
    const reached = reachedWorkers(this) - this.reachedBefore;
    assert.ok(reached <= most, `it reached workers ${reached} times more`);
  },
);

Then(
  'it is refused as not run, with when to come back',
  function (this: CrashWorld) {
    assert.equal(this.lastAnswer.status, 503);
    assert.ok(Number(this.lastAnswer.headers['retry-after']) > 0);
  },
);

Then(
  'every entry serves what differs from it in its path',
  async function (this: CrashWorld) {
    await assertServed(this, {...this.request, path: '/write/other'});
  },
);

Then(
  'the first entry sends on what differs from it in its body or its caller',
  async function (this: CrashWorld) {
    const others = [
      {...this.request, body: 'another order'},
      {...this.request, from: OTHER_CALLER},
    ];
    for (const request of others) {
      // The workers crash at the path, so that the answer tells only that the request was sent on.
      const {status} = await this.balancerSite.call({...request, entry: 0});
      assert.equal(status, 502);
    }
  },
);

Then(
  'each of these look-ups is served by every entry',
  async function (this: CrashWorld) {
    assert.ok(this.lookUps.length > 0);
    for (const request of this.lookUps) {
      await assertServed(this, request);
    }
  },
);

Then(
  'every entry serves {string}',
  async function (this: CrashWorld, line: string) {
    await assertServed(this, toRequest(line));
  },
);

/** Has the guard see crashes under a request; returns the record of it. */
function reportCrashes(
  guard: CrashGuard,
  fingerprint: string,
  crashes: number,
): SuspectRecord {
  const records = Array.from({length: crashes}, (_, index) =>
    guard.onCrash({fingerprint}, {upstream: `${fingerprint}-${index}`}, 0),
  );
  return records[crashes - 1];
}

function listSuspectKeys({balancerSite}: CrashWorld): readonly string[] {
  return balancerSite.store.keys.filter(key => key.startsWith('suspects/'));
}

function toRequest(line: string): CallerRequest {
  const [method, path] = line.split(' ');
  return {method, path, body: method === 'POST' ? 'order' : undefined};
}

async function assertServed(
  {balancerSite}: CrashWorld,
  request: CallerRequest,
): Promise<void> {
  for (let entry = 0; entry < balancerSite.entries; entry++) {
    const {status} = await balancerSite.call({...request, entry});
    assert.equal(status, 200, `${request.path} at entry ${entry}`);
  }
}

async function sendUntilCrashed(
  world: CrashWorld,
  crashes: number,
  beside = 0,
): Promise<void> {
  for (let sent = 0; crashedWorkers(world) < crashes; sent++) {
    assert.ok(sent < MOST_SENDS, `${crashedWorkers(world)} crashed`);
    const lookUps = Array.from({length: beside}, (_, index) => ({
      path: `/read/${sent}-${index}`,
    }));
    const answers = lookUps.map((request, index) =>
      world.balancerSite.call({
        ...request,
        entry: index % world.balancerSite.entries,
      }),
    );
    world.lookUps?.push(...lookUps);
    await sleep(pauseMsOf(world));
    await send(world, sent);
    await Promise.all(answers);
  }
}

async function sendInTurn(world: CrashWorld, count: number): Promise<void> {
  for (let sent = 0; sent < count; sent++) {
    await send(world, sent);
    await sleep(pauseMsOf(world));
  }
}

async function send(world: CrashWorld, index: number): Promise<void> {
  const {balancerSite, request, habit, onlyEntry} = world;
  const entry = onlyEntry ?? index % balancerSite.entries;
  world.lastAnswer = await balancerSite.call({...request, ...habit, entry});
}

function pauseMsOf({habit}: CrashWorld): number {
  return habit === undefined ? PAUSE_MS : HASTY_PAUSE_MS;
}

/** How many workers the request has crashed: one that is back may have been crashed twice. */
function crashedWorkers({balancerSite, request}: CrashWorld): number {
  return balancerSite.workers.filter(({requests}) =>
    requests.some(({path}) => path === request.path),
  ).length;
}

/** How often the request has reached a worker, by its path, body and caller: the sends of others differ in one of these. */
function reachedWorkers({balancerSite, request}: CrashWorld): number {
  return balancerSite.workers
    .flatMap(({requests}) => requests)
    .filter(({path}) => path === request.path).length;
}
