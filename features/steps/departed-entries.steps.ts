/** Steps for entries that go off, and for the lists on which callers find entries. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {findFreePorts} from '@wasabidyke/stand-ins';
import type {BalancerSite} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';

interface DepartedWorld {
  balancerSite: BalancerSite;
  /** Records of entries that do not run, by name. */
  departed: Map<string, {readonly address: string; sequence: number}>;
  silentServers: Server[];
  lastAddress: string;
}

Given(
  'entries in the availability zones {string}',
  async function (this: DepartedWorld, zones: string) {
    this.departed = new Map();
    this.silentServers = [];
    // The first one runs already, in the first zone.
    for (const zone of zones.split(', ').slice(1)) {
      await this.balancerSite.addEntry(zone);
    }
    await this.balancerSite.ready();
    const {addresses} = this.balancerSite;
    this.lastAddress = addresses[addresses.length - 1];
    await eventually('all know each other', async () =>
      (await listAll(this)).every(list =>
        addresses.every(address => list.includes(address)),
      ),
    );
  },
);

After(function (this: Partial<DepartedWorld>) {
  for (const server of this.silentServers ?? []) {
    server.close();
  }
});

When(
  'entry {string} of {string} is announced and then loses power',
  async function (this: DepartedWorld, name: string, zone: string) {
    const [callers, feed] = await findFreePorts(2);
    await announce(this, name, zone, callers, feed);
  },
);

When(
  'entry {string} of {string} is announced and then freezes',
  async function (this: DepartedWorld, name: string, zone: string) {
    const server = createServer(() => {});
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    this.silentServers.push(server);
    const {port} = server.address() as AddressInfo;
    await announce(this, name, zone, port, port);
  },
);

When(
  'entry {string} announces itself anew',
  function (this: DepartedWorld, name: string) {
    const departed = this.departed.get(name);
    assert.ok(departed);
    departed.sequence += 1;
    this.balancerSite.store.set(`entries/${name}`, departed);
  },
);

When('the last entry stops', function (this: DepartedWorld) {
  // The stop itself takes longer than the others may name it.
  void this.balancerSite.stopLastEntry();
});

When(
  'another entry starts and stops while it is being announced',
  async function (this: DepartedWorld) {
    await this.balancerSite.addEntry('home-a');
    await this.balancerSite.ready();
    void this.balancerSite.stopLastEntry();
    assert.ok(!this.balancerSite.store.keys.includes('entries/entry-4'));
  },
);

Then(
  'within {int} ms the store no longer names {string}',
  async function (this: DepartedWorld, limitMs: number, name: string) {
    const {store} = this.balancerSite;
    const isGone = () => !store.keys.includes(`entries/${name}`);
    await eventually(`${name} is withdrawn`, isGone, limitMs);
  },
);

When('the other entries stop', async function (this: DepartedWorld) {
  while (this.balancerSite.entries > 1) {
    await this.balancerSite.stopLastEntry();
  }
});

Then(
  'within {int} ms no entry names {string}',
  async function (this: DepartedWorld, limitMs: number, name: string) {
    await isNamedByNone(this, toAddress(this, name), limitMs);
  },
);

Then(
  'within {int} ms no entry names the last one',
  async function (this: DepartedWorld, limitMs: number) {
    await isNamedByNone(this, this.lastAddress, limitMs);
  },
);

Then(
  'within {int} ms all entries name {string}',
  async function (this: DepartedWorld, limitMs: number, name: string) {
    const address = toAddress(this, name);
    await eventually(
      `all name ${name}`,
      async () => (await listAll(this)).every(list => list.includes(address)),
      limitMs,
    );
  },
);

Then(
  'the first entry names {string}',
  async function (this: DepartedWorld, name: string) {
    const [first] = await listAll(this);
    assert.ok(first.includes(toAddress(this, name)), `${name} is not named`);
  },
);

function toAddress(world: DepartedWorld, name: string): string {
  const departed = world.departed.get(name);
  assert.ok(departed, `no entry ${name}`);
  return departed.address;
}

async function announce(
  world: DepartedWorld,
  name: string,
  zone: string,
  callers: number,
  feed: number,
): Promise<void> {
  const record = {
    name,
    zone,
    region: zone.split('-')[0],
    address: `127.0.0.1:${callers}`,
    feedAddress: `127.0.0.1:${feed}`,
    sequence: 1,
  };
  world.departed.set(name, record);
  world.balancerSite.store.set(`entries/${name}`, record);
  await eventually(`${name} is known`, async () =>
    (await listAll(world)).every(list => list.includes(record.address)),
  );
}

async function isNamedByNone(
  world: DepartedWorld,
  address: string,
  limitMs: number,
): Promise<void> {
  await eventually(
    `no list names ${address}`,
    async () => !(await listAll(world)).flat().includes(address),
    limitMs,
  );
}

/** The lists of all entries that run, for a caller of no known place. */
function listAll(world: DepartedWorld): Promise<string[][]> {
  const {balancerSite} = world;
  const indexes = Array.from({length: balancerSite.entries}, (_, at) => at);
  return Promise.all(
    indexes.map(async index => {
      const path = '/-/resolve?name=shop.example';
      const {body} = await balancerSite.get(1, path, index);
      return (JSON.parse(body).addresses ?? []) as string[];
    }),
  );
}
