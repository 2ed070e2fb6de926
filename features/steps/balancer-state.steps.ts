/** Steps for what a balancer reads from the store: configurations, workers and entries. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import type {StoreFault} from '../support/memory-record-store.js';

/** Time after which a record that vanished in an outage is taken as gone, and a second for a busy machine. */
const RETURN_LIMIT_MS = 6_000;

interface StateWorld {
  balancerSite: BalancerSite;
  named: readonly string[];
  appliedBefore: number;
}

/** The versions of the configuration that an entry applied, in order. */
function appliedVersions(site: BalancerSite, name: string): readonly number[] {
  return site.log.events
    .filter(({event}) => event === 'configuration.applied')
    .filter(({entry}) => entry === name)
    .map(({version}) => Number(version));
}

Then('the store no longer names it', function (this: StateWorld) {
  assert.ok(!this.balancerSite.store.keys.includes('entries/entry-1'));
});

Then('it is not ready', async function (this: StateWorld) {
  const {status} = await this.balancerSite.get(2, '/-/ready');
  assert.equal(status, 503);
});

Given(
  "the store's old reads are {int} ms behind",
  function (this: StateWorld, staleMs: number) {
    this.balancerSite.store.staleMs = staleMs;
  },
);

When(
  'the configuration changes {int} times, one each {int} ms',
  async function (this: StateWorld, times: number, gapMs: number) {
    this.appliedBefore = appliedVersions(this.balancerSite, 'entry-1').length;
    for (let change = 0; change < times; change++) {
      this.balancerSite.configure();
      await sleep(gapMs);
    }
  },
);

When('another entry starts', async function (this: StateWorld) {
  await this.balancerSite.addEntry();
  await this.balancerSite.ready();
});

Then(
  'the first configuration of the last entry is the newest one',
  function (this: StateWorld) {
    const {balancerSite} = this;
    const name = `entry-${balancerSite.entries}`;
    assert.equal(appliedVersions(balancerSite, name)[0], balancerSite.version);
  },
);

Then(
  'the newest configuration is in force within {int} ms',
  async function (this: StateWorld, limitMs: number) {
    const isInForce = () =>
      appliedVersions(this.balancerSite, 'entry-1').at(-1) ===
      this.balancerSite.version;
    await eventually('it is in force', isInForce, limitMs);
  },
);

Then('at most {int} of them were applied', function (this: StateWorld, most) {
  const applied = appliedVersions(this.balancerSite, 'entry-1').length;
  assert.ok(applied - this.appliedBefore <= most, `applied ${applied}`);
});

When(
  'the store shows an older configuration without routes',
  function (this: StateWorld) {
    this.balancerSite.store.set('op/config', {
      version: '00000001',
      routes: {},
      services: {},
      limits: {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout: '1s',
        idle_timeout: '1s',
      },
    });
  },
);

When(
  "the store shows a configuration that can't be read",
  function (this: StateWorld) {
    this.balancerSite.store.set('op/config', '{"version":');
  },
);

When(
  "the store shows bytes that can't be read as worker {string}",
  function (this: StateWorld, id: string) {
    this.balancerSite.store.set(`servers/${id}`, '\u0000{]');
  },
);

When(
  'worker {string} announces that it drains',
  async function (this: StateWorld, id: string) {
    this.balancerSite.announce(this.balancerSite.findWorker(id), {
      state: 'draining',
    });
    await sawLeaving(this.balancerSite, id);
  },
);

When(
  'worker {string} announces that it drains behind the silence',
  function (this: StateWorld, id: string) {
    this.balancerSite.announce(this.balancerSite.findWorker(id), {
      state: 'draining',
    });
  },
);

When(
  'worker {string} announces an older state',
  async function (this: StateWorld, id: string) {
    this.balancerSite.announce(this.balancerSite.findWorker(id), {
      state: 'ready',
      seq: 0,
    });
    // Nothing shows that it was read but the time that a read takes, with the pause before it.
    await sleep(1_000);
  },
);

When(
  'worker {string} vanishes from the store',
  async function (this: StateWorld, id: string) {
    this.balancerSite.store.set(`servers/${id}`, undefined);
    await sawLeaving(this.balancerSite, id);
  },
);

When(
  'worker {string} lapses from the store',
  function (this: StateWorld, id: string) {
    this.balancerSite.store.set(`servers/${id}`, undefined);
  },
);

When(
  '{int} look-ups are sent',
  async function (this: StateWorld, count: number) {
    for (const worker of this.balancerSite.workers) {
      worker.requests.length = 0;
    }
    for (let sent = 0; sent < count; sent++) {
      const {status} = await this.balancerSite.call({path: '/read/a'});
      assert.equal(status, 200);
    }
  },
);

Then(
  'worker {string} got none of them',
  function (this: StateWorld, id: string) {
    assert.equal(this.balancerSite.findWorker(id).requests.length, 0);
  },
);

Then(
  'worker {string} is no longer used after a few seconds',
  async function (this: StateWorld, id: string) {
    const leaving = () =>
      this.balancerSite.log.events.some(
        ({event, upstream}) => event === 'upstream.leaving' && upstream === id,
      );
    assert.equal(leaving(), false);
    await eventually('it is dropped', leaving, RETURN_LIMIT_MS);
  },
);

When(
  'workers {string} lapse from the store together',
  function (this: StateWorld, ids: string) {
    for (const id of ids.split(', ')) {
      this.balancerSite.store.set(`servers/${id}`, undefined);
    }
  },
);

Then(
  'worker {string} is no longer used after {int} ms',
  async function (this: StateWorld, id: string, limitMs: number) {
    await sawLeaving(this.balancerSite, id, limitMs);
  },
);

When('the store is {string}', function (this: StateWorld, fault: StoreFault) {
  this.balancerSite.store.fault = fault;
});

Then(
  'the log has a {string} line',
  async function (this: StateWorld, name: string) {
    const {events} = this.balancerSite.log;
    await eventually(name, () => events.some(({event}) => event === name));
  },
);

Given(
  'the store names the entries',
  async function (this: StateWorld, table: DataTable) {
    for (const row of table.hashes()) {
      this.balancerSite.store.set(`entries/${row.name}`, row);
    }
    await eventually('they are known', async () => {
      const {body} = await this.balancerSite.get(2, '/metrics');
      return body.includes(`wasabidyke_entries ${table.hashes().length + 1}\n`);
    });
  },
);

When(
  'a caller in {string} and {string} asks for entries',
  async function (this: StateWorld, region: string, zone: string) {
    const {body} = await this.balancerSite.get(
      1,
      `/-/resolve?name=shop.example&region=${region}&zone=${zone}`,
    );
    this.named = JSON.parse(body).addresses;
  },
);

Then(
  'it is told of this entry and {string}',
  function (this: StateWorld, other: string) {
    const own = `127.0.0.1:${this.balancerSite.callerPort}`;
    assert.deepEqual([...this.named].sort(), [own, other].sort());
  },
);

Then('it is told of all entries', function (this: StateWorld) {
  assert.equal(this.named.length, 3);
});

async function sawLeaving(
  site: BalancerSite,
  id: string,
  limitMs?: number,
): Promise<void> {
  const isLeft = () =>
    site.log.events.some(
      ({event, upstream}) => event === 'upstream.leaving' && upstream === id,
    );
  await eventually(`${id} is left`, isLeft, limitMs);
}
