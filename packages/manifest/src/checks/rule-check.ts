/** Checks of the rules of requests. */

import type {DocumentPath, Draft} from '@wasabidyke/shared';
import type {RequestRule, Service} from '../schema.js';
import {ManifestCheck, place, type Placed} from './manifest-check.js';

/** Methods that a load balancer does not pass on. */
const UNSUPPORTED_METHODS: ReadonlySet<string> = new Set(['CONNECT', 'TRACE']);

/** Methods that clients and caches may repeat at will. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/** Rules are apart from each other, and never ask to repeat what must not be repeated. */
export class RuleCheck extends ManifestCheck {
  override run(): void {
    for (const service of this.listServices()) {
      this.#checkUniqueness(service);
      for (const {part, path} of this.listRules(service)) {
        this.#checkRetries(part, path);
        this.#checkHedge(part, path);
        this.#checkMethods(part, path);
      }
    }
  }

  #checkUniqueness(service: Placed<Draft<Service>>): void {
    const rules = this.listRules(service);
    const names = rules.map(({part, path}) => ({
      part: part.name,
      path: [...path, 'name'],
    }));
    this.checkUnique(names, 'duplicate-request', 'Request kind');
    const routes = rules.flatMap(rule => listRoutes(rule));
    this.checkUnique(routes, 'duplicate-route', 'Method and path');
  }

  #checkRetries({kind, retries = 0}: Draft<RequestRule>, path: DocumentPath) {
    if (retries === 0 || kind === undefined) {
      return;
    }
    if (kind !== 'idempotent') {
      const message = `A request of kind "${kind}" is never retried; set "retries" to 0.`;
      this.add('retries-not-idempotent', [...path, 'retries'], message);
    } else if (this.manifest.entries?.retryShare === 0) {
      const message = '"entries.retryShare" of 0 allows no retry; raise it.';
      this.add('retries-without-share', [...path, 'retries'], message);
    }
  }

  #checkHedge({kind, hedge}: Draft<RequestRule>, path: DocumentPath): void {
    if (hedge === true && kind !== undefined && kind !== 'idempotent') {
      const message = `A request of kind "${kind}" is never run twice; set "hedge" to false.`;
      this.add('hedge-not-idempotent', [...path, 'hedge'], message);
    }
  }

  #checkMethods(rule: Draft<RequestRule>, path: DocumentPath): void {
    for (const method of place(rule.methods, [...path, 'methods'])) {
      if (UNSUPPORTED_METHODS.has(method.part)) {
        const message = `${method.part} requests are not passed on; remove it.`;
        this.add('unsupported-method', method.path, message);
      }
      if (rule.kind === 'at-most-once' && SAFE_METHODS.has(method.part)) {
        const message = `${method.part} cannot be at-most-once: caches and clients repeat it; use another method.`;
        this.add('safe-method-once', method.path, message);
      }
    }
  }
}

function listRoutes({
  part,
  path,
}: Placed<Draft<RequestRule>>): ReadonlyArray<Placed<string>> {
  if ('path' in part && part.path === undefined) {
    return [];
  }
  const rulePath = (part.path ?? '/').replace(/(?<=.)\/$/, '');
  const methods = place(part.methods, [...path, 'methods']);
  return methods.map(method => ({
    part: `${method.part} ${rulePath}`,
    path: method.path,
  }));
}
