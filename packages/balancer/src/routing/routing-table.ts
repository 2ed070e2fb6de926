/** Routing configuration indexed for lookup. It is immutable, so that each request sees one version. */

import type {
  CallerLimits,
  ClientAccount,
  Route,
  RoutingConfiguration,
  ServiceConfiguration,
} from './routing-configuration.js';
import {findPrioritiesByService} from './service-priorities.js';

/** Routes and services of one configuration version. */
export class RoutingTable {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #services: ReadonlyMap<string, ServiceConfiguration>;
  readonly #accounts: ReadonlyMap<string, ClientAccount>;
  readonly #prioritiesByService: ReadonlyMap<string, ReadonlySet<number>>;
  readonly #accountsByKey = new Map<string, ClientAccount>();
  /** Whether requests on routes that aren't public need the key of a client account. */
  readonly hasAccounts: boolean;

  constructor(configuration: RoutingConfiguration) {
    this.version = configuration.version;
    this.limits = configuration.limits;
    this.#services = new Map(
      configuration.services.map(service => [service.name, service]),
    );
    this.#prioritiesByService = findPrioritiesByService(configuration);
    const accounts = configuration.accounts ?? [];
    this.hasAccounts = configuration.accounts !== undefined;
    this.#accounts = new Map(accounts.map(account => [account.name, account]));
    for (const account of accounts) {
      for (const key of account.keys) {
        this.#accountsByKey.set(key, account);
      }
    }
    for (const route of configuration.routes) {
      const host = toHostName(route.host);
      const routes = this.#routesByHost.get(host) ?? [];
      routes.push(route);
      this.#routesByHost.set(host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    }
  }

  /** Finds the matching route with the longest prefix. @param url Path with or without a query. */
  findRoute(host: string | undefined, url: string): Route | undefined {
    const routes = this.#routesByHost.get(toHostName(host ?? ''));
    const queryAt = url.indexOf('?');
    const path = queryAt === -1 ? url : url.slice(0, queryAt);
    return routes?.find(({prefix}) => path.startsWith(prefix));
  }

  /** Finds a client account by its name. */
  findAccount(name: string): ClientAccount | undefined {
    return this.#accounts.get(name);
  }

  /** Finds the client account that holds a key. */
  findAccountByKey(key: string): ClientAccount | undefined {
    return this.#accountsByKey.get(key);
  }

  /** Whether requests of more than one priority can arrive at a service. */
  hasSeveralPriorities(service: string): boolean {
    return (this.#prioritiesByService.get(service)?.size ?? 0) > 1;
  }

  /** Finds a service by its name. */
  findService(name: string): ServiceConfiguration | undefined {
    return this.#services.get(name);
  }
}

/** Normalizes a `Host` header: without a port, and in lower case. */
function toHostName(host: string): string {
  const portAt = host.lastIndexOf(':');
  const hasPort = portAt > -1 && /^\d+$/.test(host.slice(portAt + 1));
  return (hasPort ? host.slice(0, portAt) : host).toLowerCase();
}
