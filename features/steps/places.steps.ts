/** Steps for allowed regions and evacuated availability zones, with entries and workers. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BalancerSite, CallerAnswer} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import type {RecordCopy} from '../support/memory-record-store.js';
import {sendRelay, type RelayAnswer} from '../support/relay-message.js';

interface PlacesWorld {
  balancerSite: BalancerSite;
  answer: CallerAnswer;
  answers: CallerAnswer[];
  pending: Promise<CallerAnswer>;
  copy: RecordCopy;
  named: string[];
  messageAnswer: RelayAnswer;
}

/** Time within which a change of the store is in force at all entries, in milliseconds. */
const EVACUATE_MS = 2_500;

/** Time between changes of the store that keep a feeder fresh, in milliseconds: several in the 1.6 s for which its records count as fresh. */
const CHANGE_INTERVAL_MS = 400;

/** Time after which a configuration is in force at all entries, in milliseconds. */
const CONFIGURE_MS = 3_000;

Given(
  'worker {string} in the availability zone {string}',
  async function (this: PlacesWorld, id: string, zone: string) {
    await this.balancerSite.addWorker(id, zone);
    await this.balancerSite.settle();
  },
);

Given(
  'another entry in {string}',
  async function (this: PlacesWorld, zone: string) {
    await this.balancerSite.addEntry(zone);
    await this.balancerSite.ready();
  },
);

Given(
  /^the routes allow the regions? "([^"]*)"$/,
  async function (this: PlacesWorld, regions: string) {
    const site = this.balancerSite;
    site.allowedRegions = regions.split(', ').filter(name => name !== '');
    site.configure();
    await eventually('it is in force', () => isApplied(site), CONFIGURE_MS);
  },
);

Given(
  'the zone {string} is evacuated',
  async function (this: PlacesWorld, zone: string) {
    this.balancerSite.store.set(`op/evacuate/${zone}`, {});
    await isInForce(this.balancerSite, 'zone.evacuated', zone);
  },
);

When(
  'the zone {string} is evacuated at once',
  function (this: PlacesWorld, zone: string) {
    this.balancerSite.store.set(`op/evacuate/${zone}`, {});
  },
);

When(
  'the zone {string} is taken back',
  async function (this: PlacesWorld, zone: string) {
    this.balancerSite.store.set(`op/evacuate/${zone}`, undefined);
    await isInForce(this.balancerSite, 'zone.taken-back', zone);
  },
);

When(
  'the zone {string} is taken back while the history of the store is lost',
  async function (this: PlacesWorld, zone: string) {
    this.balancerSite.store.fault = 'history-lost';
    this.balancerSite.store.set(`op/evacuate/${zone}`, undefined);
    await isInForce(this.balancerSite, 'zone.taken-back', zone);
  },
);

When('a copy of the store is taken', function (this: PlacesWorld) {
  this.copy = this.balancerSite.store.copy();
});

When(
  /^the store comes back from that copy, and the zone "([^"]+)" is (evacuated|taken back) by it$/,
  async function (this: PlacesWorld, zone: string, change: string) {
    this.balancerSite.store.comeBackFrom(this.copy);
    const event = change === 'evacuated' ? 'zone.evacuated' : 'zone.taken-back';
    await isInForce(this.balancerSite, event, zone);
  },
);

When('a look-up is under way', async function (this: PlacesWorld) {
  this.pending = this.balancerSite.call({path: '/read/a'});
  await eventually('a worker has it', () =>
    this.balancerSite.workers.some(({requests}) => requests.length > 0),
  );
});

When('that look-up ends', async function (this: PlacesWorld) {
  this.answer = await this.pending;
});

When(
  '{int} look-ups are sent to each entry',
  async function (this: PlacesWorld, count: number) {
    const {balancerSite} = this;
    for (const worker of balancerSite.workers) {
      worker.requests.length = 0;
    }
    this.answers = [];
    for (let sent = 0; sent < count; sent++) {
      for (let entry = 0; entry < balancerSite.entries; entry++) {
        const answer = await balancerSite.call({path: '/read/a', entry});
        this.answers.push(answer);
      }
    }
  },
);

When(
  '{int} look-ups are sent together to entry {int}',
  async function (this: PlacesWorld, count: number, entry: number) {
    const {balancerSite} = this;
    const calls = Array.from({length: count}, () =>
      balancerSite.call({path: '/read/a', entry: entry - 1}),
    );
    this.answers = await Promise.all(calls);
  },
);

Then('none of them was answered', function (this: PlacesWorld) {
  const served = this.answers.filter(({status}) => status === 200);
  assert.equal(served.length, 0);
});

Then('some of them were answered', function (this: PlacesWorld) {
  assert.ok(this.answers.some(({status}) => status === 200));
});

Then(
  'worker {string} got some of them',
  function (this: PlacesWorld, id: string) {
    assert.ok(this.balancerSite.findWorker(id).requests.length > 0);
  },
);

Then(
  /^it was refused as not run for "([^"]+)"(?: with (\w+) "([^"]*)")?$/,
  function (
    this: PlacesWorld,
    reason: string,
    field: string | null,
    value: string | null,
  ) {
    const line = this.balancerSite.log.events.findLast(
      ({event}) => event === 'request.refused',
    );
    assert.equal(line?.reason, reason);
    assert.equal(line.isNotRun, true);
    assert.ok(Number(line.comeBackMs) > 0);
    if (field !== null) {
      assert.equal(line[field], value);
    }
  },
);

Then(
  'no request was refused for {string}',
  function (this: PlacesWorld, reason: string) {
    const lines = this.balancerSite.log.events.filter(
      line => line.event === 'request.refused' && line.reason === reason,
    );
    assert.equal(lines.length, 0);
  },
);

Then(
  'entry {int} served no relayed request',
  function (this: PlacesWorld, entry: number) {
    const served = this.balancerSite.log.events.filter(
      ({event, peer}) =>
        event === 'request.relayed' && peer === `entry-${entry}`,
    );
    assert.equal(served.length, 0);
  },
);

Then(
  'entry {int} served relayed requests',
  function (this: PlacesWorld, entry: number) {
    const served = this.balancerSite.log.events.filter(
      ({event, peer, result}) =>
        event === 'request.relayed' &&
        peer === `entry-${entry}` &&
        result === 'answered',
    );
    assert.ok(served.length > 0);
  },
);

Given(
  'a store by whose revisions entries choose whom to follow',
  function (this: PlacesWorld) {
    this.balancerSite.store.namesRevisions = true;
  },
);

Given('an entry follows another one', async function (this: PlacesWorld) {
  const {balancerSite} = this;
  // An entry feeds others only while the store has lately confirmed what it knows, as each change does.
  const timer = setInterval(
    () => balancerSite.store.set('other/record', {}),
    CHANGE_INTERVAL_MS,
  );
  try {
    await eventually('one follows', async () => {
      const reads = await readGauges(balancerSite, 'wasabidyke_reads_store');
      return reads.includes(0) && reads.includes(1);
    });
  } finally {
    clearInterval(timer);
  }
});

Then(
  'the entries count {int} evacuated zone(s)',
  async function (this: PlacesWorld, count: number) {
    const gauges = await readGauges(
      this.balancerSite,
      'wasabidyke_zones_evacuated',
    );
    assert.ok(gauges.every(value => value === count));
  },
);

Then(
  'the log tells that the region {string} of {int} routes is unknown',
  async function (this: PlacesWorld, region: string, routes: number) {
    const {events} = this.balancerSite.log;
    const line = events.find(
      ({event}) => event === 'configuration.unknown-regions',
    );
    assert.equal(line?.regions, region);
    assert.equal(String(line.subjects).split(', ').length, routes);
  },
);

When(
  'a caller of {string} in {string} asks entry {int} for entries',
  async function (
    this: PlacesWorld,
    host: string,
    zone: string,
    entry: number,
  ) {
    const [region] = zone.split('-');
    const path = `/-/resolve?name=${host}&region=${region}&zone=${zone}`;
    const {body} = await this.balancerSite.get(1, path, entry - 1);
    this.named = JSON.parse(body).addresses;
  },
);

Then(
  /^it is told of the entries? ([\d, ]+)$/,
  function (this: PlacesWorld, entries: string) {
    const {addresses} = this.balancerSite;
    const expected = entries.split(', ').map(at => addresses[Number(at) - 1]);
    assert.deepEqual(this.named, expected);
  },
);

When(
  'a message to relay {string} with the allowed regions {string} is sent to entry {int}',
  async function (
    this: PlacesWorld,
    url: string,
    regions: string,
    entry: number,
  ) {
    const port = this.balancerSite.feedPortOf(entry - 1);
    this.messageAnswer = await sendRelay(port, '127.0.0.1', {
      url,
      service: 'shop',
      allowedRegions: regions.split(', '),
    });
  },
);

/** Whether all entries have applied the configuration that was written last. */
function isApplied({log, entries, version}: BalancerSite): boolean {
  const applied = log.events.filter(
    line => line.event === 'configuration.applied' && line.version === version,
  );
  return new Set(applied.map(({entry}) => entry)).size === entries;
}

/** Waits until the last line of every entry on a zone names an event. */
async function isInForce(
  site: BalancerSite,
  expected: string,
  zone: string,
): Promise<void> {
  const lastEvents = () => {
    const lines = site.log.events.filter(
      line => line.zone === zone && line.event.startsWith('zone.'),
    );
    return new Map(lines.map(({entry, event}) => [entry, event]));
  };
  await eventually(
    `${expected} ${zone}`,
    () => {
      const events = [...lastEvents().values()];
      const isSame = events.every(event => event === expected);
      return events.length === site.entries && isSame;
    },
    EVACUATE_MS,
  );
  // Requests that were sent before the change may still arrive.
  await sleep(20);
}

async function readGauges(
  site: BalancerSite,
  name: string,
): Promise<readonly number[]> {
  const values: number[] = [];
  for (let entry = 0; entry < site.entries; entry++) {
    const {body} = await site.get(2, '/metrics', entry);
    values.push(Number(new RegExp(`^${name} (\\d+)$`, 'm').exec(body)?.[1]));
  }
  return values;
}
