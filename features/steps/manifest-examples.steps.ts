/** Steps for the manifests under examples/. */

import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {Given, Then} from '@cucumber/cucumber';
import {Snapshot, parseManifest, type Manifest} from '@wasabidyke/manifest';

interface ExampleWorld {
  manifest: Manifest;
}

function listUpstreams({services}: Manifest) {
  return services.flatMap(service => service.upstreams);
}

Given('the example {string}', async function (this: ExampleWorld, name) {
  const file = `examples/${name}/manifest.jsonc`;
  this.manifest = parseManifest(file, await readFile(file, 'utf8')).unwrap();
});

Then(
  'its preference is {string} and its entries are at most {int}',
  function (this: ExampleWorld, preference: string, entries: number) {
    const {loadWatch} = this.manifest;
    assert.equal(loadWatch.preference, preference);
    assert.equal(this.manifest.entries.maximum, entries);
  },
);

Then(
  'its regions of two availability zones each are {string}',
  function (this: ExampleWorld, names: string) {
    const {regions} = this.manifest;
    assert.equal(regions.map(region => region.name).join(', '), names);
    assert(regions.every(region => region.zones.length === 2));
  },
);

Then(
  'every availability zone has workers of every service',
  function (this: ExampleWorld) {
    const zones = this.manifest.regions.flatMap(region => region.zones);
    for (const {name, upstreams} of this.manifest.services) {
      const served = new Set(upstreams.map(upstream => upstream.zone));
      assert.equal(served.size, zones.length, name);
    }
  },
);

Then(
  'its services are {string}',
  function (this: ExampleWorld, expected: string) {
    const services = this.manifest.services.map(
      ({name, upstreams}) => `${name} ${upstreams.length}`,
    );
    assert.equal(services.join(', '), expected);
  },
);

Then(
  'its workers have {int} slots and {int} connections',
  function (this: ExampleWorld, slots: number, connections: number) {
    for (const upstream of listUpstreams(this.manifest)) {
      assert.equal(upstream.slots, slots);
      assert.equal(upstream.connections, connections);
    }
  },
);

Then(
  '{word} {string} is of the kind {string}',
  function (this: ExampleWorld, method: string, path: string, kind: string) {
    const route = new Snapshot(1, this.manifest).findRoute(method, path);
    assert(typeof route === 'object', String(route));
    assert.equal(route.rule.kind, kind);
  },
);
