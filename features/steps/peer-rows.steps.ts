/** Steps for the table of rows. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  MAXIMUM_ROW_LIFE_MS,
  RowTable,
  DEFAULT_ROW_LIMITS,
  ROW_KINDS,
  type MergeOutcome,
  type Row,
  type RowContent,
} from '@wasabidyke/peer';
import {MINUTE_MS} from '@wasabidyke/shared';
import fc from 'fast-check';

interface RowWorld {
  table: RowTable;
  outcomes: MergeOutcome[];
}

const NOW_MS = 1_800_000_000_000;
const DAY_MS = 24 * 60 * MINUTE_MS;
const INCARNATIONS = ['0123456789abcdef', 'fedcba9876543210'];

function createDeparture(name: string, version = NOW_MS, lifeMs = MINUTE_MS) {
  const target = {kind: 'vm' as const, name};
  const value = {target, source: 'vm-list' as const};
  const expiresAtMs = NOW_MS + lifeMs;
  return {kind: 'departure' as const, value, version, expiresAtMs};
}

const name = fc.constantFrom('a', 'b', 'c');
const incarnation = fc.constantFrom(...INCARNATIONS);
const small = fc.integer({min: 0, max: 3});
const content: fc.Arbitrary<RowContent> = fc.oneof(
  fc.record({
    kind: fc.constant('member' as const),
    value: fc.record({
      entry: name,
      incarnation,
      state: fc.constantFrom('serving' as const, 'draining' as const),
      callerAddress: fc.constant('127.0.0.1:1'),
      peerAddress: fc.constant('127.0.0.1:2'),
      region: name,
      zone: name,
      startedAtMs: fc.constant(NOW_MS - MINUTE_MS),
      homes: fc.constant<string[]>([]),
      heartbeat: small,
      load: small,
      revision: small,
    }),
  }),
  fc.record({
    kind: fc.constant('departure' as const),
    value: fc.record({
      target: fc.record({kind: fc.constant('vm' as const), name}),
      source: fc.constantFrom('manifest' as const, 'upstream' as const),
    }),
  }),
  fc.record({
    kind: fc.constant('suspect' as const),
    value: fc.record({
      service: name,
      fingerprint: name,
      reporter: incarnation,
      upstreams: fc.array(name, {minLength: 1, maxLength: 3}),
    }),
  }),
  fc.record({
    kind: fc.constant('succession' as const),
    value: fc.record({
      home: incarnation,
      successorEntry: name,
      successorIncarnation: incarnation,
    }),
  }),
);

const row: fc.Arbitrary<Row> = fc
  .tuple(content, small, small)
  .map(([drawn, version, life]) => ({
    ...drawn,
    version: NOW_MS + version,
    expiresAtMs: NOW_MS + MINUTE_MS + life,
  }));

function mergeAll(rows: readonly Row[]): unknown {
  const table = new RowTable();
  for (const each of rows) {
    table.merge(each, NOW_MS);
  }
  return ROW_KINDS.map(kind => ({
    sum: table.sum(kind),
    rows: table
      .rows(kind)
      .map(each => JSON.stringify(each))
      .toSorted(),
  }));
}

Then(
  'rows merged in any order and repeated give the same table, over {int} cases of seed {int}',
  (cases: number, seed: number) => {
    const orders = fc.array(row, {minLength: 1, maxLength: 40}).chain(rows =>
      fc.record({
        rows: fc.constant(rows),
        shuffled: fc.shuffledSubarray([...rows, ...rows], {
          minLength: 2 * rows.length,
        }),
      }),
    );
    const isSame = fc.property(orders, ({rows, shuffled}) => {
      assert.deepEqual(mergeAll(shuffled), mergeAll(rows));
    });
    fc.assert(isSame, {seed, numRuns: cases});
  },
);

Given('a table for {int} departures', function (this: RowWorld, limit: number) {
  this.table = new RowTable({...DEFAULT_ROW_LIMITS, departure: limit});
  this.outcomes = [];
});

When('{int} departures are merged', function (this: RowWorld, count: number) {
  for (let index = 0; index < count; index++) {
    const departure = createDeparture(`vm-${index}`);
    this.outcomes.push(this.table.merge(departure, NOW_MS));
  }
});

When(
  'a departure with a version {int} minutes ahead is merged',
  function (this: RowWorld, minutes: number) {
    const ahead = createDeparture('vm-1', NOW_MS + minutes * MINUTE_MS);
    this.outcomes = [this.table.merge(ahead, NOW_MS)];
  },
);

When(
  'a departure that ends in {int} days is merged',
  function (this: RowWorld, days: number) {
    assert.ok(days * DAY_MS > MAXIMUM_ROW_LIFE_MS);
    const late = createDeparture('vm-1', NOW_MS, days * DAY_MS);
    this.outcomes = [this.table.merge(late, NOW_MS)];
  },
);

Then(
  'it holds {int} rows and has refused {int} as {string}',
  function (this: RowWorld, held: number, refused: number, outcome: string) {
    assert.equal(this.table.count('departure'), held);
    const matching = this.outcomes.filter(each => each === outcome);
    assert.equal(matching.length, refused);
  },
);

Then(
  'a newer version of a row it holds is taken in',
  function (this: RowWorld) {
    const newer = createDeparture('vm-0', NOW_MS + 1);
    assert.equal(this.table.merge(newer, NOW_MS), 'raised');
  },
);

Then('it is refused as {string}', function (this: RowWorld, outcome: string) {
  assert.deepEqual(this.outcomes, [outcome]);
  assert.equal(this.table.count('departure'), 0);
});
