/** Steps for the limit of an upstream as several entries keep it, in simulated time. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  EntryLists,
  LimitedAdmission,
  RequestLimit,
  SeededRandom,
  ServiceWarmUp,
  WarmUp,
} from '@wasabidyke/policy';
import {SECOND_MS} from '@wasabidyke/shared';

interface SimulatedEntry {
  readonly name: string;
  readonly limit: RequestLimit;
  readonly lists: EntryLists;
}

interface RequestLimitWorld {
  entries: SimulatedEntry[];
  requestsPerSecond: number;
  nowMs: number;
  /** When requests were sent, in order, by which entry. */
  sent: Array<{readonly atMs: number; readonly entry: string}>;
  joined: number;
  admission: LimitedAdmission;
}

const WINDOW_MS = 4 * SECOND_MS;

/** Time between the requests of one entry, in milliseconds. */
const REQUEST_INTERVAL_MS = 50;
const CHANGE_INTERVAL_MS = 2 * SECOND_MS;

Given(
  '{int} entries that all know a limit of {float} a second',
  function (this: RequestLimitWorld, count: number, limit: number) {
    this.requestsPerSecond = limit;
    this.nowMs = 0;
    this.sent = [];
    this.joined = 0;
    this.entries = Array.from({length: count}, () => createEntry(this));
    applyEntries(this);
  },
);

When(
  'each of them wants to send 20 requests a second for {int} s',
  function (this: RequestLimitWorld, seconds: number) {
    send(this, seconds, () => {});
  },
);

When(
  'each of them wants to send 20 requests a second for {int} s, and one falls or joins each 2 s',
  function (this: RequestLimitWorld, seconds: number) {
    const random = new SeededRandom(seconds);
    let isJoining = false;
    send(this, seconds, () => {
      if (isJoining) {
        this.entries.push(createEntry(this));
      } else {
        this.entries.splice(random.nextBelow(this.entries.length), 1);
      }
      isJoining = !isJoining;
      applyEntries(this);
    });
  },
);

When(
  '{int} s go by without requests',
  function (this: RequestLimitWorld, seconds: number) {
    this.nowMs += seconds * SECOND_MS;
  },
);

When(
  'an end of the limit is heard {int} ms later',
  function (this: RequestLimitWorld, laterMs: number) {
    this.nowMs += laterMs;
    observe(this, undefined, this.nowMs);
  },
);

When(
  'a limit of {int} a second is told that was heard {int} ms before that',
  function (this: RequestLimitWorld, limit: number, earlierMs: number) {
    observe(this, limit, this.nowMs - earlierMs);
  },
);

Then('there is no limit', function (this: RequestLimitWorld) {
  assert.equal(this.entries[0].limit.requestsPerSecond, undefined);
});

Then(
  /^in any 4 s they send no more than (twice what )?the limit and one burst allow$/,
  function (this: RequestLimitWorld, twice: string | undefined) {
    const perWindow = this.requestsPerSecond * (WINDOW_MS / SECOND_MS);
    // Each of the entries that divide the limit has at least about one request a second of it.
    const burst = Math.max(1, this.requestsPerSecond);
    const allowed = (perWindow + burst) * (twice === undefined ? 1 : 2);
    const most = findMostInWindow(this.sent.map(({atMs}) => atMs));
    assert.ok(most <= allowed, `${most} in a window, ${allowed} allowed`);
  },
);

Then(
  'in all they send at least half of what the limit allows',
  function (this: RequestLimitWorld) {
    const allowed = this.requestsPerSecond * (this.nowMs / SECOND_MS);
    assert.ok(this.sent.length >= allowed / 2, `${this.sent.length}`);
  },
);

Then('each of them has sent a request', function (this: RequestLimitWorld) {
  const senders = new Set(this.sent.map(({entry}) => entry));
  assert.equal(senders.size, this.entries.length);
});

Given(
  'a service whose upstreams all name limits',
  function (this: RequestLimitWorld) {
    this.admission = new LimitedAdmission(new SeededRandom(1));
    this.nowMs = 0;
  },
);

When(
  'a request of priority {int} is refused',
  function (this: RequestLimitWorld, priority: number) {
    this.admission.refuse(priority, 1, this.nowMs);
  },
);

Then(
  'one of priority {int} may use limited upstreams, one of priority {int} may not',
  function (this: RequestLimitWorld, urgent: number, other: number) {
    assert.equal(this.admission.mayUse(urgent, this.nowMs), true);
    assert.equal(this.admission.mayUse(other, this.nowMs), false);
  },
);

Then('a second later both may', function (this: RequestLimitWorld) {
  const laterMs = this.nowMs + SECOND_MS;
  assert.equal(this.admission.mayUse(1, laterMs), true);
  assert.equal(this.admission.mayUse(2, laterMs), true);
});

function createEntry(world: RequestLimitWorld): SimulatedEntry {
  world.joined += 1;
  const name = `entry-${world.joined}`;
  const random = new SeededRandom(world.joined);
  const lists = new EntryLists();
  const limit = new RequestLimit({
    upstream: 'u1',
    zone: 'home-a',
    region: 'home',
    entry: name,
    entries: lists,
    warmUp: new WarmUp(new ServiceWarmUp()),
    random,
  });
  const {requestsPerSecond, nowMs} = world;
  limit.observe({requestsPerSecond, observedAtMs: nowMs}, nowMs);
  return {name, limit, lists};
}

function applyEntries({entries, nowMs}: RequestLimitWorld): void {
  const list = entries.map(({name}) => ({
    name,
    zone: 'home-a',
    region: 'home',
    isAnnounced: true,
  }));
  entries.forEach(({lists}) => lists.apply(list, nowMs));
}

function observe(
  world: RequestLimitWorld,
  requestsPerSecond: number | undefined,
  observedAtMs: number,
): void {
  const observation = {requestsPerSecond, observedAtMs};
  world.entries.forEach(({limit}) => limit.observe(observation, world.nowMs));
}

/** Has each entry send as often as it may. @param change Called each two seconds. */
function send(
  world: RequestLimitWorld,
  seconds: number,
  change: () => void,
): void {
  const endMs = world.nowMs + seconds * SECOND_MS;
  let changeAtMs = world.nowMs + CHANGE_INTERVAL_MS;
  while (world.nowMs < endMs) {
    world.nowMs += REQUEST_INTERVAL_MS;
    if (world.nowMs >= changeAtMs) {
      changeAtMs += CHANGE_INTERVAL_MS;
      change();
    }
    for (const {name, limit} of world.entries) {
      if (limit.take(world.nowMs)) {
        world.sent.push({atMs: world.nowMs, entry: name});
      }
    }
  }
}

function findMostInWindow(timesMs: readonly number[]): number {
  let most = 0;
  let first = 0;
  timesMs.forEach((atMs, index) => {
    while (timesMs[first] <= atMs - WINDOW_MS) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}
