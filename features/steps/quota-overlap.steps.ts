/** Steps for quotas while entries are disturbed, without a network. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  DEFAULT_QUOTA_TOLERANCE,
  GrantingRight,
  quotaBound,
  type Quota,
} from '@wasabidyke/policy';
import {ElapsedClock, ManualClock} from '@wasabidyke/shared';
import {QuotaOverlap, type QuotaDisturbance} from '../support/quota-overlap.js';
import type {OverlapRequest} from '../support/quota-overlap-entry.js';

interface OverlapWorld {
  /** Highest part of the bound, by what was simulated. */
  worstParts: Map<string, number>;
  clock: SuspendedClock;
  elapsed: ElapsedClock;
  right: GrantingRight;
}

/** A machine whose monotonic clock stands still while it is suspended. */
class SuspendedClock extends ManualClock {
  #suspendedMs = 0;

  override wallTime(): number {
    return this.now() + this.#suspendedMs;
  }

  suspend(forMs: number): void {
    this.#suspendedMs += forMs;
  }
}

const RATES = [4, 7, 40, 121];
const ENTRIES = [3, 6, 10];
const SEEDS = [1, 2];

/** Time in which a right that isn't handed over has begun, in milliseconds. */
const BEGUN_MS = 3_000;
const STEP_MS = 100;
const ACCOUNT = 'hotel';

/** What is done, with times from the beginning of the surge on. */
function toDisturbances(
  what: string,
  entries: number,
): readonly QuotaDisturbance[] {
  const all = Array.from({length: entries}, (_, rank) => rank);
  const half = all.filter(rank => rank % 2 === 0).slice(0, entries / 2);
  const first = [0];
  const kinds: Readonly<Record<string, QuotaDisturbance['kind']>> = {
    'stands still': 'pause',
    'is suspended': 'suspend',
    'is cut off': 'cut',
  };
  const single =
    /^its granting entry (stands still|is suspended|is cut off) for ([\d.]+) s$/.exec(
      what,
    );
  if (single !== null) {
    const forMs = Number(single[2]) * 1_000;
    return [{kind: kinds[single[1]], ranks: first, atMs: 500, forMs}];
  }
  const twice =
    /^its granting entry (stands still|is suspended|is cut off) twice$/.exec(
      what,
    );
  if (twice !== null) {
    const kind = kinds[twice[1]];
    return [
      {kind, ranks: first, atMs: 500, forMs: 1_700},
      {kind, ranks: first, atMs: 3_100, forMs: 2_600},
    ];
  }
  switch (what) {
    case 'nothing reaches its granting entry':
      return [{kind: 'cut-in', ranks: first, atMs: 1_000, forMs: 5_500}];
    case 'nothing arrives that its granting entry sends':
      return [{kind: 'cut-out', ranks: first, atMs: 1_000, forMs: 5_500}];
    case 'half of the entries are cut off from the others':
      return [{kind: 'apart', ranks: half, atMs: 1_000, forMs: 5_000}];
    case 'half of the entries are cut off from the others twice':
      return [
        {kind: 'apart', ranks: half, atMs: 500, forMs: 2_500},
        {kind: 'apart', ranks: half, atMs: 4_200, forMs: 3_000},
      ];
    case 'entries are stopped in turn':
      return all.map(rank => toTurn('stop', rank));
    case 'entries are killed in turn':
      return all.map(rank => toTurn('kill', rank));
    case 'its granting entry is killed twice':
      return [
        {kind: 'kill', ranks: first, atMs: 500, forMs: 0},
        {kind: 'kill', ranks: first, atMs: 2_700, forMs: 0},
      ];
    case 'its granting entry stands still and the next one is cut off':
      return [
        {kind: 'pause', ranks: first, atMs: 500, forMs: 4_500},
        {kind: 'cut', ranks: [1], atMs: 3_300, forMs: 3_000},
      ];
    case 'its granting entry is stopped and the next one stands still':
      return [
        {kind: 'stop', ranks: first, atMs: 300, forMs: 0},
        {kind: 'pause', ranks: [1], atMs: 1_400, forMs: 2_500},
      ];
    default:
      throw new Error(`there is no disturbance "${what}"`);
  }
}

function toTurn(kind: 'stop' | 'kill', rank: number): QuotaDisturbance {
  return {kind, ranks: [rank], atMs: 300 + 1_000 * rank, forMs: 0};
}

/** Most requests that were both sent and let through within a window, as a part of the bound. */
function worstPart(requests: readonly OverlapRequest[], quota: Quota): number {
  const {windowMs} = DEFAULT_QUOTA_TOLERANCE;
  const passed = requests.flatMap(({sentAtMs, passedAtMs}) =>
    passedAtMs === undefined ? [] : [{sentAtMs, passedAtMs}],
  );
  const counts = passed.map(({passedAtMs: endMs}) => {
    const isIn = ({sentAtMs, passedAtMs}: (typeof passed)[number]) =>
      sentAtMs > endMs - windowMs && passedAtMs <= endMs;
    return passed.filter(isIn).length;
  });
  return Math.max(...counts) / quotaBound(quota, DEFAULT_QUOTA_TOLERANCE);
}

When(
  'an account sends more than its quota while {}, with 3, 6 and 10 entries',
  {timeout: 120_000},
  async function (this: OverlapWorld, what: string) {
    this.worstParts = new Map();
    for (const requestsPerSecond of RATES) {
      for (const entries of ENTRIES) {
        for (const seed of SEEDS) {
          const quota = {requestsPerSecond, burst: requestsPerSecond};
          const disturbances = toDisturbances(what, entries);
          const options = {entries, quota, disturbances, seed};
          const {requests} = await new QuotaOverlap(options).run();
          this.worstParts.set(
            `${entries} entries, ${requestsPerSecond} a second, seed ${seed}`,
            worstPart(requests, quota),
          );
        }
      }
    }
  },
);

Then(
  'the requests of any 5 s were within the bound, for quotas of 4, 7, 40 and 121 requests per second',
  function (this: OverlapWorld) {
    const broken = [...this.worstParts].filter(([, part]) => part > 1);
    assert.deepEqual(broken, []);
    assert.equal(
      this.worstParts.size,
      RATES.length * ENTRIES.length * SEEDS.length,
    );
  },
);

Given(
  'an entry with the right to grant, and a monotonic clock that stands still while it is suspended',
  function (this: OverlapWorld) {
    this.clock = new SuspendedClock();
    this.elapsed = new ElapsedClock(this.clock);
    this.right = new GrantingRight('entry-1');
    for (let atMs = 0; atMs < BEGUN_MS; atMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      const now = this.elapsed.now();
      const entries = ['entry-1', 'entry-2', 'entry-3'];
      this.right.applyEntries(['entry-1'], entries, now);
      this.right.onContact('entry-2', now.elapsedMs, now);
    }
    assert.notEqual(
      this.right.findSince(ACCOUNT, this.elapsed.now()),
      undefined,
    );
  },
);

When(
  'it is suspended for {int} ms',
  function (this: OverlapWorld, forMs: number) {
    this.clock.suspend(forMs);
  },
);

Then(
  /^it (doesn't have|still has) the right to grant$/,
  function (this: OverlapWorld, has: string) {
    const sinceMs = this.right.findSince(ACCOUNT, this.elapsed.now());
    assert.equal(sinceMs !== undefined, has === 'still has');
  },
);

Given(
  'an entry that is asked for its part before it is announced',
  function (this: OverlapWorld) {
    this.elapsed = new ElapsedClock(new ManualClock());
    this.right = new GrantingRight('entry-1');
    this.right.part(this.elapsed.now());
    this.right.applyEntries([], ['entry-1'], this.elapsed.now());
    this.right.part(this.elapsed.now());
  },
);

When('it is announced', function (this: OverlapWorld) {
  this.right.applyEntries(['entry-1'], ['entry-1'], this.elapsed.now());
});

Then(
  'it may grant all of the share of its region',
  function (this: OverlapWorld) {
    assert.equal(this.right.part(this.elapsed.now()), 1);
  },
);
