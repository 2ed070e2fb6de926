/** Steps for workers in warm-up. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {ROUND_TRIPS_MS, UpstreamRegistry} from '@wasabidyke/balancer';
import {PlatformWireProtocol} from '@wasabidyke/platform';
import {SeededRandom} from '@wasabidyke/policy';
import {SystemClock} from '@wasabidyke/shared';
import type {BalancerSite, CallerAnswer} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';

interface UpstreamWarmUpWorld {
  balancerSite: BalancerSite;
  registry: UpstreamRegistry;
  warmUpServer: Server | undefined;
  answers: readonly CallerAnswer[];
}

/** Warm-up of the workers, in milliseconds. */
const DURATION_MS = 3_000;

/** Time in which entries have settled on who is up, and have read what was written, in milliseconds. */
const SETTLING_MS = 2_600;

/** Time in which entries have read a record or a configuration, in milliseconds. */
const READING_MS = 300;

Given(
  'upstreams in warm-up take {int} requests a second',
  async function (this: UpstreamWarmUpWorld, requestsPerSecond: number) {
    await configure(this.balancerSite, {
      warmup: `${DURATION_MS}ms`,
      warmup_per_s: requestsPerSecond,
    });
    await sleep(SETTLING_MS);
  },
);

When(
  'upstreams need no warm-up any more',
  async function (this: UpstreamWarmUpWorld) {
    await configure(this.balancerSite, {});
  },
);

Given(
  'worker {string} is announced as cold for {int} ms',
  async function (this: UpstreamWarmUpWorld, id: string, forMs: number) {
    const {balancerSite} = this;
    const worker = balancerSite.findWorker(id);
    balancerSite.announce(worker, {warmup_left: `${forMs}ms`});
    await sleep(READING_MS);
  },
);

When(
  'the announcement of {string} is written again unchanged',
  async function (this: UpstreamWarmUpWorld, id: string) {
    this.balancerSite.announceAgain(id);
    await sleep(READING_MS);
  },
);

Given('the workers name their warm-up', function (this: UpstreamWarmUpWorld) {
  for (const {warmUp} of this.balancerSite.workers) {
    warmUp.isNamed = true;
  }
});

When(
  'worker {string} becomes cold for {int} ms',
  function (this: UpstreamWarmUpWorld, id: string, forMs: number) {
    this.balancerSite.findWorker(id).warmUp.begin(forMs);
  },
);

When(
  'worker {string} crashes and is cold for {int} ms',
  function (this: UpstreamWarmUpWorld, id: string, forMs: number) {
    const worker = this.balancerSite.findWorker(id);
    worker.warmUp.begin(forMs);
    worker.crash();
  },
);

Given(
  'workers {string} join that are cold for {int} ms',
  async function (this: UpstreamWarmUpWorld, ids: string, forMs: number) {
    const {balancerSite} = this;
    for (const id of ids.split(', ')) {
      await balancerSite.addWorker(id, undefined, {
        warmup_left: `${forMs}ms`,
      });
    }
    await balancerSite.settle();
  },
);

Then(
  'worker {string} got some of them from each entry',
  function (this: UpstreamWarmUpWorld, id: string) {
    const {balancerSite, answers} = this;
    // Look-ups are sent to the entries in turn.
    const senders = answers.flatMap(({body}, index) =>
      body.startsWith(`${id} ran`) ? [index % balancerSite.entries] : [],
    );
    assert.equal(new Set(senders).size, balancerSite.entries);
  },
);

Then(
  'the log tells that {string} is cold by {string}',
  function (this: UpstreamWarmUpWorld, id: string, source: string) {
    const lines = this.balancerSite.log.events.filter(
      ({event, upstream}) => event === 'upstream.warm-up' && upstream === id,
    );
    const line = lines.find(candidate => candidate.source === source);
    assert.ok(line, JSON.stringify(lines));
    assert.ok(Number(line.remainingMs) > 0);
    const shares = lines.map(({ownPerSecond}) => Number(ownPerSecond));
    assert.ok(Math.max(...shares) > 0, JSON.stringify(lines));
  },
);

Then(
  'each entry counts {int} upstreams in warm-up',
  async function (this: UpstreamWarmUpWorld, count: number) {
    for (let entry = 0; entry < this.balancerSite.entries; entry++) {
      await eventually('the gauge tells', async () => {
        const {body} = await this.balancerSite.get(2, '/metrics', entry);
        const known = /^wasabidyke_upstreams_warming_up (\d+)$/m.exec(body);
        return Number(known?.[1]) === count;
      });
    }
  },
);

Then(
  'all refusals in the log have the reason {string}',
  function (this: UpstreamWarmUpWorld, reason: string) {
    const reasons = this.balancerSite.log.events
      .filter(({event}) => event === 'request.refused')
      .map(line => line.reason);
    assert.ok(reasons.length > 0);
    assert.deepEqual(new Set(reasons), new Set([reason]));
  },
);

Given(
  'a registry with a warm upstream in each of the zones {string}',
  function (this: UpstreamWarmUpWorld, zones: string) {
    this.registry = createRegistry();
    zones
      .split(', ')
      .forEach((zone, index) =>
        addWarmUpstream(this.registry, index, zone, `127.0.0.1:${index + 1}`),
      );
    assert.equal(this.registry.warmingUpCount, 0);
  },
);

When(
  'the zone {string} is taken back from its evacuation',
  function (this: UpstreamWarmUpWorld, zone: string) {
    this.registry.onZoneTakenBack(zone);
  },
);

Then(
  '{int} upstream(s) of the registry counts/count as cold',
  function (this: UpstreamWarmUpWorld, count: number) {
    assert.equal(this.registry.warmingUpCount, count);
  },
);

Given(
  'a registry with a warm upstream that names its warm-up in answers',
  async function (this: UpstreamWarmUpWorld) {
    const server = createServer((_request, response) => {
      response.writeHead(200, {
        'wasabidyke-instance-id': 'u-0',
        'wasabidyke-warmup-remaining-ms': '0',
      });
      response.end();
    });
    this.warmUpServer = server;
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    this.registry = createRegistry();
    addWarmUpstream(this.registry, 0, 'home-a', `127.0.0.1:${port}`);
  },
);

When(
  'it answers a load query on a new connection',
  async function (this: UpstreamWarmUpWorld) {
    const handle = this.registry.find('u-0');
    assert.ok(handle !== undefined);
    assert.equal(await handle.isAlive('/load'), true);
    handle.drain();
  },
);

After(function (this: UpstreamWarmUpWorld) {
  this.warmUpServer?.closeAllConnections();
  this.warmUpServer?.close();
});

function addWarmUpstream(
  registry: UpstreamRegistry,
  index: number,
  zone: string,
  address: string,
): void {
  registry.add({
    id: `u-${index}`,
    startedAtEpochMs: 1,
    sequence: 1,
    service: 'shop',
    address,
    zone,
    slots: 4,
    isDraining: false,
    warmUpLeftMs: 0,
  });
}

/** A registry of an entry that does nothing with what it reports. */
function createRegistry(): UpstreamRegistry {
  const ignore = () => {};
  return new UpstreamRegistry({
    entry: 'entry-1',
    locality: {
      region: 'home',
      zone: 'home-a',
      regionByZone: {'home-a': 'home', 'home-b': 'home'},
      roundTripsMs: ROUND_TRIPS_MS,
    },
    protocol: new PlatformWireProtocol(),
    clock: new SystemClock(),
    random: new SeededRandom(1),
    connectionLimit: () => 1,
    warmUp: () => ({durationMs: DURATION_MS, requestsPerSecond: 2}),
    onWarmUp: ignore,
    onLimit: ignore,
    onHeard: ignore,
    onConnectionLost: ignore,
    onLeaving: ignore,
    onRest: ignore,
    onUnresponsive: ignore,
    onReach: ignore,
  });
}

/** Writes a configuration and waits until all entries have it. */
async function configure(site: BalancerSite, service: object): Promise<void> {
  site.service = service;
  site.configure();
  for (let entry = 0; entry < site.entries; entry++) {
    await eventually('the configuration is applied', async () => {
      const {body} = await site.get(2, '/metrics', entry);
      const known = /^wasabidyke_configuration_version (\d+)$/m.exec(body);
      return Number(known?.[1]) === site.version;
    });
  }
}
