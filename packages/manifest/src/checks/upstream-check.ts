/** Checks of upstreams: their names, addresses, places and sizes. */

import type {DocumentPath, Draft} from '@wasabidyke/shared';
import type {Service, Upstream} from '../schema.js';
import {ManifestCheck, place, type Placed} from './manifest-check.js';

/** Upstreams are apart from each other, stand in known zones, and have room for every entry. */
export class UpstreamCheck extends ManifestCheck {
  override run(): void {
    const services = this.listServices();
    const upstreams = services.flatMap(service => this.listUpstreams(service));
    const addresses = upstreams.map(({part, path}) => ({
      part: part.address,
      path: [...path, 'address'],
    }));
    this.checkUnique(addresses, 'duplicate-address', 'Address');
    this.#checkVms(upstreams);
    for (const service of services) {
      this.#checkService(service);
    }
    for (const {part, path} of upstreams) {
      this.#checkPlace(part, path);
      this.#checkSizes(part, path);
    }
  }

  #checkService(service: Placed<Draft<Service>>): void {
    const names = this.listUpstreams(service).map(({part, path}) => ({
      part: part.name,
      path: [...path, 'name'],
    }));
    this.checkUnique(names, 'duplicate-upstream', 'Upstream');
    const {name, upstreams = []} = service.part;
    const isAbandoned = upstreams.every(upstream => upstream?.leaving === true);
    if (upstreams.length > 0 && isAbandoned) {
      const message = `Every upstream of "${name}" is leaving; add one that stays.`;
      this.add('no-upstream-stays', [...service.path, 'upstreams'], message);
    }
  }

  #checkVms(upstreams: ReadonlyArray<Placed<Draft<Upstream>>>): void {
    const zones = new Map<string, string>();
    for (const {part, path} of upstreams) {
      const {vm, region, zone} = part;
      if (vm === undefined || region === undefined || zone === undefined) {
        continue;
      }
      const here = `${region}/${zone}`;
      const before = zones.get(vm) ?? here;
      zones.set(vm, before);
      if (before !== here) {
        const message = `VM "${vm}" stands in ${before} as well as in ${here}; correct one.`;
        this.add('vm-in-two-zones', [...path, 'vm'], message);
      }
    }
  }

  #checkPlace({region, zone}: Draft<Upstream>, path: DocumentPath): void {
    const regions = this.manifest.regions ?? [];
    // A region or zone that is itself invalid may be the one that is meant.
    if (region === undefined || regions.some(each => !each?.name)) {
      return;
    }
    const known = place(regions, []).find(({part}) => part.name === region);
    if (known === undefined) {
      const message = `Region "${region}" is not among "regions"; add it or correct the name.`;
      this.add('unknown-region', [...path, 'region'], message);
      return;
    }
    const zones = known.part.zones ?? [];
    if (zone === undefined || zones.some(each => each === undefined)) {
      return;
    }
    if (zones.length > 0 && !zones.includes(zone)) {
      const message = `Availability zone "${zone}" is not in region "${region}".`;
      this.add('unknown-zone', [...path, 'zone'], message);
    }
  }

  #checkSizes(upstream: Draft<Upstream>, path: DocumentPath): void {
    const {connections, slots = 0} = upstream;
    const entries = this.manifest.entries?.maximum ?? 0;
    if (connections === undefined) {
      return;
    }
    if (connections < entries) {
      const message = `${connections} connections cannot serve ${entries} entries; allow at least one an entry.`;
      this.add('too-few-connections', [...path, 'connections'], message);
    }
    if (connections < slots) {
      const message = `${slots} slots cannot be filled over ${connections} connections; allow one a slot.`;
      this.add('slots-exceed-connections', [...path, 'slots'], message);
    }
  }
}
