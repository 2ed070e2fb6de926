/** Routing configuration indexed for lookup. It is immutable, so that each request sees one version. */

import {AccountDirectory} from './account-directory.js';
import {
  combineAllowedRegions,
  intersectAllowedRegions,
  type AllowedRegions,
} from './allowed-regions.js';
import {RouteIndex, toHostName} from './route-index.js';
import type {
  CallerLimits,
  ClientAccount,
  Route,
  RoutingConfiguration,
  ServiceConfiguration,
} from './routing-configuration.js';
import {findPrioritiesByService} from './service-priorities.js';

/** Routes, services and client accounts of one configuration version. */
export class RoutingTable {
  readonly version: number;
  readonly limits: CallerLimits;
  /** When this entry applied it, on the monotonic clock in milliseconds. */
  readonly appliedAtMs: number;
  readonly #routes: RouteIndex;
  /** By host, the regions that all its routes with a list allow; hosts without lists are missing. */
  readonly #regionsByHost = new Map<string, AllowedRegions>();
  readonly #services: ReadonlyMap<string, ServiceConfiguration>;
  /** Client accounts; empty if the deployment has none. */
  readonly accounts: AccountDirectory;
  readonly #prioritiesByService: ReadonlyMap<string, ReadonlySet<number>>;
  /** Whether requests on routes that aren't public need the key of a client account. */
  readonly hasAccounts: boolean;

  /**
   * @param accounts The accounts of the configuration, if they are indexed already.
   * @param appliedAtMs When this entry applies it, on the monotonic clock in milliseconds.
   * @throws If the accounts aren't indexed, and one of them is wrong.
   */
  constructor(
    configuration: RoutingConfiguration,
    accounts = AccountDirectory.create(configuration.accounts ?? []).unwrap(),
    appliedAtMs = 0,
  ) {
    this.appliedAtMs = appliedAtMs;
    this.version = configuration.version;
    this.limits = configuration.limits;
    this.#routes = new RouteIndex(configuration.routes);
    this.#services = new Map(
      configuration.services.map(service => [service.name, service]),
    );
    this.#prioritiesByService = findPrioritiesByService(configuration);
    this.hasAccounts = configuration.accounts !== undefined;
    this.accounts = accounts;
    for (const {host, allowedRegions} of configuration.routes) {
      if (allowedRegions.length > 0) {
        this.#restrictHost(
          toHostName(host),
          combineAllowedRegions(allowedRegions),
        );
      }
    }
  }

  /** Whether a host has routes. */
  hasHost(host: string | undefined): boolean {
    return this.#routes.hasHost(host);
  }

  /** Finds the matching route with the longest prefix. @param url Path with or without a query. */
  findRoute(host: string | undefined, url: string): Route | undefined {
    return this.#routes.find(host, url);
  }

  /** The regions that all routes of a host allow which name some; undefined if none does, or the host has no routes. */
  findHostRegions(host: string): AllowedRegions {
    return this.#regionsByHost.get(toHostName(host));
  }

  /** Finds a client account by its name. */
  findAccount(name: string): ClientAccount | undefined {
    return this.accounts.findByName(name);
  }

  /** Finds the client account that holds a key. */
  findAccountByKey(key: string): ClientAccount | undefined {
    return this.accounts.findByKey(key);
  }

  /** Whether requests of more than one priority can arrive at a service. */
  hasSeveralPriorities(service: string): boolean {
    return (this.#prioritiesByService.get(service)?.size ?? 0) > 1;
  }

  /** Finds a service by its name. */
  findService(name: string): ServiceConfiguration | undefined {
    return this.#services.get(name);
  }

  #restrictHost(host: string, allowed: AllowedRegions): void {
    const known = this.#regionsByHost.get(host);
    this.#regionsByHost.set(host, intersectAllowedRegions(known, allowed));
  }
}
