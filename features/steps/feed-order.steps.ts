/** Steps for the order in which entries follow each other. */

import assert from 'node:assert/strict';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {EntryRoster, UNNAMED_ERA, type EntryRecord} from '@wasabidyke/balancer';
import {LivenessTracker, SeededRandom} from '@wasabidyke/policy';

interface FeedOrderWorld {
  announced: Announced[];
}

interface Announced {
  readonly record: EntryRecord;
  readonly revision: number;
  readonly era?: number;
}

Given(
  'entries that announced themselves in this order',
  function (this: FeedOrderWorld, table: DataTable) {
    this.announced = table.hashes().map(({name, zone}, index) => ({
      record: toRecord(name, zone),
      revision: index + 1,
    }));
  },
);

When('{string} announces itself anew', function (this: FeedOrderWorld, name) {
  const known = this.announced.find(({record}) => record.name === name);
  assert.ok(known !== undefined);
  const revision = this.announced.length + 1;
  this.announced = this.announced.filter(other => other !== known);
  this.announced.push({record: known.record, revision});
});

Given(
  'the store names its era, and {string} and {string} are of a build that tells none',
  function (this: FeedOrderWorld, first: string, second: string) {
    this.announced = this.announced.map(({record, revision}) => {
      const isOlder = [first, second].includes(record.name);
      const told = isOlder ? record : {...record, tellsEra: true};
      return {record: told, revision, era: 1};
    });
  },
);

Given(
  'the store has begun another era, in which {string} and then {string} announced themselves',
  function (this: FeedOrderWorld, first: string, second: string) {
    const known = this.announced.map(({record, revision}) => ({
      record: {...record, tellsEra: true},
      revision,
      era: 1,
    }));
    const anew = [first, second].map((name, index) => {
      const record = known.find(other => other.record.name === name)?.record;
      assert.ok(record !== undefined);
      return {record, revision: index + 1, era: 2};
    });
    this.announced = [...known, ...anew];
  },
);

Then(
  '{string} in {string} may follow {string}',
  function (this: FeedOrderWorld, name: string, zone: string, names: string) {
    const own = toRecord(name, zone);
    const liveness = new LivenessTracker(
      {...own, sequence: 1},
      new SeededRandom(1),
    );
    const roster = new EntryRoster(own, liveness);
    for (const {record, revision, era = UNNAMED_ERA} of this.announced) {
      roster.onEra(era);
      roster.onRecord(record, {era, revision});
    }
    const feeders = roster.listFeeders().map(feeder => feeder.name);
    assert.equal(feeders.join(', '), names);
  },
);

function toRecord(name: string, zone: string): EntryRecord {
  const address = '10.0.0.1:1';
  return {name, address, feedAddress: address, region: 'home', zone};
}
