/** A manifest compiled for look-ups: immutable, and used whole by each request. */

import {toPathPrefix} from './path-prefix.js';
import type {Manifest, RequestRule, Service} from './schema.js';

/** Where a request belongs. */
export interface Route {
  readonly service: Service;
  readonly rule: RequestRule;
}

/** Why a request has no route. */
export type RouteMiss = 'unknown-service' | 'unknown-request' | 'wrong-method';

/** A manifest at one revision, compiled. */
export class Snapshot {
  readonly revision: number;
  readonly manifest: Manifest;
  readonly #prefixes: ReadonlyArray<{prefix: string; service: Service}>;
  readonly #services: ReadonlyMap<string, Service>;

  constructor(revision: number, manifest: Manifest) {
    this.revision = revision;
    this.manifest = manifest;
    this.#prefixes = manifest.services
      .map(service => ({prefix: toPathPrefix(service), service}))
      .toSorted((left, right) => right.prefix.length - left.prefix.length);
    this.#services = new Map(
      manifest.services.map(service => [service.name, service]),
    );
  }

  /** The service of this name. */
  findService(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Finds the service and the rules of a request. @param path Without its query. */
  findRoute(method: string, path: string): Route | RouteMiss {
    const match = this.#prefixes.find(({prefix}) => isBelow(path, prefix));
    if (match === undefined) {
      return 'unknown-service';
    }
    const rest = path.slice(match.prefix.length);
    const below = rest.startsWith('/') ? rest : `/${rest}`;
    return findRule(match.service, method, below);
  }
}

function findRule(
  service: Service,
  method: string,
  path: string,
): Route | RouteMiss {
  const matching = service.requests.filter(rule => isBelow(path, rule.path));
  if (matching.length === 0) {
    return 'unknown-request';
  }
  const allowed = matching.filter(rule => rule.methods.includes(method));
  if (allowed.length === 0) {
    return 'wrong-method';
  }
  const rule = allowed.reduce((best, candidate) =>
    candidate.path.length > best.path.length ? candidate : best,
  );
  return {service, rule};
}

function isBelow(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) {
    return false;
  }
  const next = path.charAt(prefix.length);
  return prefix.endsWith('/') || next === '' || next === '/';
}
