/** Steps for entries that lost their links to the workers. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {LinkState} from '@wasabidyke/stand-ins';
import {BalancerSite, type CallerAnswer} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import {sendRelay, type RelayAnswer} from '../support/relay-message.js';

/** A first try of a caller. */
interface FirstTry {
  readonly id: string;
  readonly entry: number;
  readonly sentAtMs: number;
  /** Undefined if the connection broke. */
  readonly answer: CallerAnswer | undefined;
}

interface CutOffWorld {
  messageAnswer: RelayAnswer;
  balancerSite: BalancerSite;
  tries: FirstTry[];
  /** Tries whose callers still wait. */
  pending: Set<Promise<void>>;
  timer: NodeJS.Timeout | undefined;
  countedFromMs: number;
  relayedBefore: number;
  allRelayedBefore: number;
}

Given(
  '{int} balancers on the platform with links of their own',
  async function (this: CutOffWorld, count: number) {
    this.balancerSite = new BalancerSite(true);
    for (let index = 0; index < count; index++) {
      await this.balancerSite.addEntry();
    }
  },
);

Given('every entry knows the others', async function (this: CutOffWorld) {
  const site = this.balancerSite;
  await site.settle();
  for (let entry = 0; entry < site.entries; entry++) {
    await eventually('the entries are known', async () => {
      const {body} = await site.get(2, '/metrics', entry);
      const known = /^wasabidyke_entries (\d+)$/m.exec(body)?.[1];
      return Number(known) === site.entries;
    });
  }
});

Given(
  'callers send {int} requests each {int} ms to every entry',
  async function (this: CutOffWorld, count: number, periodMs: number) {
    this.tries = [];
    this.pending = new Set();
    let sent = 0;
    this.timer = setInterval(() => {
      // One entry after the other gets a look-up, an order or an upload.
      for (let index = 0; index < count; index++) {
        sent += 1;
        trySoon(this, sent % this.balancerSite.entries, sent);
      }
    }, periodMs);
    await sleep(500);
  },
);

After(function (this: Partial<CutOffWorld>) {
  clearInterval(this.timer);
});

When(
  /^the links of (?:entry|entries) ([\d, and]+) to all workers are "([a-z-]+)"$/,
  function (this: CutOffWorld, entries: string, mode: LinkState['mode']) {
    for (const entry of entries.match(/\d+/g) ?? []) {
      this.balancerSite.linksOf(Number(entry) - 1).change(mode);
    }
  },
);

When(
  'the links of all entries to all workers are {string}',
  function (this: CutOffWorld, mode: LinkState['mode']) {
    for (let entry = 0; entry < this.balancerSite.entries; entry++) {
      this.balancerSite.linksOf(entry).change(mode);
    }
  },
);

When(
  'the links of entry {int} to all workers are {string} and {string} in turn, {int} ms each, for {int} ms',
  async function (
    this: CutOffWorld,
    entry: number,
    first: LinkState['mode'],
    second: LinkState['mode'],
    periodMs: number,
    totalMs: number,
  ) {
    this.countedFromMs = performance.now();
    const links = this.balancerSite.linksOf(entry - 1);
    for (let passedMs = 0; passedMs < totalMs; passedMs += 2 * periodMs) {
      links.change(first);
      await sleep(periodMs);
      links.change(second);
      await sleep(periodMs);
    }
    await settleTries(this);
  },
);

When(
  '{int} ms of first tries are counted',
  async function (this: CutOffWorld, milliseconds: number) {
    this.countedFromMs = performance.now();
    this.relayedBefore = relayedBy(this, 1);
    this.allRelayedBefore = relayedByAll(this);
    await sleep(milliseconds);
    await settleTries(this);
  },
);

When('all workers end', function (this: CutOffWorld) {
  for (const worker of this.balancerSite.workers) {
    worker.close();
  }
});

Given(
  'entry 1 has lost its links, and its callers have ended',
  async function (this: CutOffWorld) {
    this.balancerSite.linksOf(0).change('silent');
    await sleep(400);
    await settleTries(this);
  },
);

When(
  'a message to relay {string} to the service {string} is sent to entry {int} from {string}',
  async function (
    this: CutOffWorld,
    url: string,
    service: string,
    entry: number,
    from: string,
  ) {
    const port = this.balancerSite.feedPortOf(entry - 1);
    this.messageAnswer = await sendRelay(port, from, {url, service});
  },
);

Then(
  'it is answered {int} as not run for {string}',
  function (this: CutOffWorld, status: number, reason: string) {
    assert.deepEqual(this.messageAnswer, {status, result: 'not-run', reason});
  },
);

Then(
  'no worker got the path {string}',
  function (this: CutOffWorld, path: string) {
    assert.equal(requestsFor(this, path).length, 0);
  },
);

Then('no worker got any of them', function (this: CutOffWorld) {
  const tries = countedTries(this);
  const got = new Set(
    this.balancerSite.workers
      .flatMap(({requests}) => requests)
      .map(({headers}) => headers.get('wasabidyke-attempt-id')),
  );
  const late = tries.filter(({id}) => got.has(id));
  assert.ok(tries.length >= 20, `${tries.length} tries are too few`);
  assert.equal(late.length, 0, `${late.length} of ${tries.length} did`);
});

Then(
  'a worker got the path {string} with {int} bytes',
  function (this: CutOffWorld, path: string, bytes: number) {
    const [got, ...others] = requestsFor(this, path);
    assert.equal(got?.body, 'x'.repeat(bytes));
    assert.equal(others.length, 0);
  },
);

Then(
  'a worker got {string} with at most {int} ms',
  function (this: CutOffWorld, id: string, limitMs: number) {
    const got = this.balancerSite.workers
      .flatMap(({requests}) => requests)
      .find(({headers}) => headers.get('wasabidyke-attempt-id') === id);
    const grantedMs = Number(
      got?.headers.get('wasabidyke-request-deadline-ms'),
    );
    assert.ok(grantedMs <= limitMs, `${grantedMs} ms`);
  },
);

Then(
  'a worker that got {string} sees its caller leave',
  async function (this: CutOffWorld, path: string) {
    await eventually('a worker sees it', () =>
      this.balancerSite.workers.some(
        ({requests, brokenOff}) =>
          brokenOff > 0 && requests.some(got => got.path === path),
      ),
    );
  },
);

Then(
  'at least {int} of 100 first tries at each entry were served',
  function (this: CutOffWorld, percent: number) {
    for (let entry = 0; entry < this.balancerSite.entries; entry++) {
      checkServed(this, entry, percent);
    }
  },
);

Then(
  'at least {int} of 100 first tries at entry {int} were served',
  function (this: CutOffWorld, percent: number, entry: number) {
    checkServed(this, entry - 1, percent);
  },
);

Then(
  'the entries relayed at most {int} of them',
  function (this: CutOffWorld, limit: number) {
    const relayed = relayedByAll(this) - this.allRelayedBefore;
    assert.ok(relayed <= limit, `${relayed} were relayed`);
  },
);

Then(
  '{int} of 100 first tries were refused as not run within {int} ms, with when to come back',
  function (this: CutOffWorld, percent: number, limitMs: number) {
    const tries = countedTries(this);
    const refused = tries.filter(
      ({answer}) =>
        answer?.status === 503 &&
        answer.tookMs <= limitMs &&
        Number(answer.headers['retry-after']) > 0,
    );
    assert.ok(tries.length >= 20, `${tries.length} tries are too few`);
    assert.ok(
      refused.length * 100 >= percent * tries.length,
      `${refused.length} of ${tries.length}: ${statusesOf(tries)}`,
    );
  },
);

Then('no order ran twice', function (this: CutOffWorld) {
  const orders = this.balancerSite.workers
    .flatMap(({requests}) => requests)
    .filter(({method}) => method === 'POST')
    .map(({headers}) => headers.get('wasabidyke-attempt-id'));
  assert.equal(new Set(orders).size, orders.length);
});

Then(
  'entry {int} relayed none of them',
  function (this: CutOffWorld, entry: number) {
    assert.equal(relayedBy(this, entry) - this.relayedBefore, 0);
  },
);

function trySoon(world: CutOffWorld, entry: number, number: number): void {
  const sentAtMs = performance.now();
  const isOrder = number % 3 === 0;
  const request = isOrder
    ? {method: 'POST', path: `/write/${number}`, body: `order ${number}`}
    : {path: `/read/${number}`};
  const id = `try-${number}`;
  const made = world.balancerSite
    .call({...request, id, entry})
    .catch(() => undefined)
    .then(answer => {
      world.tries.push({id, entry, sentAtMs, answer});
      world.pending.delete(made);
    });
  world.pending.add(made);
}

/** Ends the callers, and waits for what they sent. */
async function settleTries(world: CutOffWorld): Promise<void> {
  clearInterval(world.timer);
  await Promise.all(world.pending);
}

function countedTries({tries, countedFromMs}: CutOffWorld): FirstTry[] {
  return tries.filter(({sentAtMs}) => sentAtMs >= countedFromMs);
}

function statusesOf(tries: readonly FirstTry[]): string {
  const counts = new Map<number, number>();
  for (const {answer} of tries) {
    const status = answer?.status ?? 0;
    counts.set(status, (counts.get(status) ?? 0) + 1);
  }
  return [...counts].map(pair => pair.join(': ')).join(', ');
}

/** Requests that an entry relayed so far. */
function relayedBy({balancerSite}: CutOffWorld, entry: number): number {
  return balancerSite.log.events.filter(
    ({event, entry: name}) =>
      event === 'request.relayed' && name === `entry-${entry}`,
  ).length;
}

function relayedByAll({balancerSite}: CutOffWorld): number {
  return balancerSite.log.events.filter(
    ({event}) => event === 'request.relayed',
  ).length;
}

function checkServed(world: CutOffWorld, entry: number, percent: number): void {
  const tries = countedTries(world).filter(made => made.entry === entry);
  const served = tries.filter(({answer}) => answer?.status === 200);
  assert.ok(tries.length >= 20, `${tries.length} tries are too few`);
  assert.ok(
    served.length * 100 >= percent * tries.length,
    `entry ${entry + 1} served ${served.length} of ${tries.length}: ${statusesOf(tries)}`,
  );
}

function requestsFor({balancerSite}: CutOffWorld, path: string) {
  return balancerSite.workers
    .flatMap(({requests}) => requests)
    .filter(got => got.path === path);
}
