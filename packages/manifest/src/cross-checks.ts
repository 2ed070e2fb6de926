/** Checks between the parts of a manifest, which a schema cannot express. */

import type {
  DocumentPath,
  DocumentSource,
  FindingCollector,
} from '@wasabidyke/shared';
import type {Manifest, RequestRule, Service, Upstream} from './schema.js';

/** The first service prefix segment that the system keeps for its own pages. */
const RESERVED_PREFIX = '/v1';

/** Highest valid TCP port. */
const MAXIMUM_PORT = 65_535;

/** Runs every cross check; findings go to `findings`. */
export function checkManifest(
  manifest: Manifest,
  source: DocumentSource,
  findings: FindingCollector,
): void {
  new CrossCheck(manifest, source, findings).run();
}

class CrossCheck {
  readonly #manifest: Manifest;
  readonly #source: DocumentSource;
  readonly #findings: FindingCollector;

  constructor(
    manifest: Manifest,
    source: DocumentSource,
    findings: FindingCollector,
  ) {
    this.#manifest = manifest;
    this.#source = source;
    this.#findings = findings;
  }

  run(): void {
    this.#checkRegions();
    this.#checkServiceNames();
    this.#checkAddresses();
    for (const [index, service] of this.#manifest.services.entries()) {
      this.#checkService(service, ['services', index]);
    }
    this.#checkBudget();
  }

  #add(code: string, path: DocumentPath, message: string): void {
    this.#findings.add({code, message, place: this.#source.toPlace(path)});
  }

  #checkUnique(
    values: ReadonlyArray<{value: string; path: DocumentPath}>,
    code: string,
    what: string,
  ): void {
    const seen = new Set<string>();
    for (const {value, path} of values) {
      if (seen.has(value)) {
        this.#add(code, path, `${what} "${value}" stands twice; rename one.`);
      }
      seen.add(value);
    }
  }

  #checkRegions(): void {
    const regions = this.#manifest.regions.map((region, index) => ({
      value: region.name,
      path: ['regions', index, 'name'],
    }));
    this.#checkUnique(regions, 'duplicate-region', 'Region');
    const zones = this.#manifest.regions.flatMap((region, index) =>
      region.zones.map((value, zoneIndex) => ({
        value,
        path: ['regions', index, 'zones', zoneIndex],
      })),
    );
    this.#checkUnique(zones, 'duplicate-zone', 'Availability zone');
  }

  #checkServiceNames(): void {
    const names = this.#manifest.services.map((service, index) => ({
      value: service.name,
      path: ['services', index, 'name'],
    }));
    this.#checkUnique(names, 'duplicate-service', 'Service');
    const prefixes = this.#manifest.services.map((service, index) => ({
      value: toPathPrefix(service),
      path: ['services', index, 'pathPrefix'],
    }));
    this.#checkUnique(prefixes, 'duplicate-prefix', 'Path prefix');
    for (const {value, path} of prefixes) {
      if (
        value === RESERVED_PREFIX ||
        value.startsWith(`${RESERVED_PREFIX}/`)
      ) {
        const message = `Path prefix "${value}" is kept for the system's own pages; choose another.`;
        this.#add('reserved-prefix', path, message);
      }
    }
  }

  #checkAddresses(): void {
    const addresses = this.#manifest.services.flatMap((service, index) =>
      service.upstreams.map((upstream, upstreamIndex) => ({
        value: upstream.address,
        path: ['services', index, 'upstreams', upstreamIndex, 'address'],
      })),
    );
    this.#checkUnique(addresses, 'duplicate-address', 'Address');
    for (const {value, path} of addresses) {
      if (!isUsableAddress(value)) {
        const message = `"${value}" is no usable address; octets go to 255, ports from 1 to ${MAXIMUM_PORT}.`;
        this.#add('bad-address', path, message);
      }
    }
  }

  #checkService(service: Service, path: DocumentPath): void {
    const upstreams = service.upstreams.map((upstream, index) => ({
      value: upstream.name,
      path: [...path, 'upstreams', index, 'name'],
    }));
    this.#checkUnique(upstreams, 'duplicate-upstream', 'Upstream');
    const rules = service.requests.map((rule, index) => ({
      value: rule.name,
      path: [...path, 'requests', index, 'name'],
    }));
    this.#checkUnique(rules, 'duplicate-request', 'Request kind');
    for (const [index, upstream] of service.upstreams.entries()) {
      this.#checkUpstream(upstream, [...path, 'upstreams', index]);
    }
    for (const [index, rule] of service.requests.entries()) {
      this.#checkRule(rule, [...path, 'requests', index]);
    }
    this.#checkOverlaps(service, path);
    if (service.upstreams.every(upstream => upstream.leaving)) {
      const message = `Every upstream of "${service.name}" is leaving; add one that stays.`;
      this.#add('no-upstream-stays', [...path, 'upstreams'], message);
    }
  }

  #checkUpstream(upstream: Upstream, path: DocumentPath): void {
    const region = this.#manifest.regions.find(
      candidate => candidate.name === upstream.region,
    );
    if (region === undefined) {
      const message = `Region "${upstream.region}" is not among "regions"; add it or correct the name.`;
      this.#add('unknown-region', [...path, 'region'], message);
      return;
    }
    if (!region.zones.includes(upstream.zone)) {
      const message = `Availability zone "${upstream.zone}" is not in region "${region.name}".`;
      this.#add('unknown-zone', [...path, 'zone'], message);
    }
    if (upstream.connections < this.#manifest.entries.maximum) {
      const message = `${upstream.connections} connections cannot serve ${this.#manifest.entries.maximum} entries; allow at least one an entry.`;
      this.#add('too-few-connections', [...path, 'connections'], message);
    }
  }

  #checkRule(rule: RequestRule, path: DocumentPath): void {
    if (rule.retries > 0 && rule.kind !== 'idempotent') {
      const message = `A request of kind "${rule.kind}" is never retried; set "retries" to 0.`;
      this.#add('retries-not-idempotent', [...path, 'retries'], message);
    }
    if (rule.kind !== 'at-most-once') {
      return;
    }
    const safe = rule.methods.filter(method => /^(GET|HEAD)$/.test(method));
    if (safe.length > 0) {
      const message = `${safe.join(', ')} cannot be at-most-once: caches and clients repeat it; use another method.`;
      this.#add('safe-method-once', [...path, 'methods'], message);
    }
  }

  #checkOverlaps(service: Service, path: DocumentPath): void {
    const routes = service.requests.flatMap((rule, index) =>
      rule.methods.map((method, methodIndex) => ({
        value: `${method} ${rule.path}`,
        path: [...path, 'requests', index, 'methods', methodIndex],
      })),
    );
    this.#checkUnique(routes, 'duplicate-route', 'Method and path');
  }

  #checkBudget(): void {
    const {crossRegionBytesPerSecond, bytesPerSecond} =
      this.#manifest.loadWatch;
    if (crossRegionBytesPerSecond > bytesPerSecond) {
      const message = `${crossRegionBytesPerSecond} bytes a second across regions exceed the whole budget of ${bytesPerSecond}.`;
      this.#add(
        'budget-exceeds-whole',
        ['loadWatch', 'crossRegionBytesPerSecond'],
        message,
      );
    }
  }
}

/** The path prefix of a service: as stated, or its name. */
export function toPathPrefix(service: Service): string {
  return service.pathPrefix ?? `/${service.name}`;
}

function isUsableAddress(address: string): boolean {
  const port = Number(address.slice(address.lastIndexOf(':') + 1));
  const host = address.slice(0, address.lastIndexOf(':'));
  const octets = host.startsWith('[') ? [] : host.split('.').map(Number);
  const hasValidOctets = octets.every(octet => octet <= 255);
  return port >= 1 && port <= MAXIMUM_PORT && hasValidOctets;
}
