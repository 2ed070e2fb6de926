/** Configurations with many accounts and routes, as operators write them and as they are decoded. */

import {
  RoutingTable,
  type ClientAccount,
  type Route,
  type RoutingConfiguration,
} from '@wasabidyke/balancer';
import {PlatformDecoder} from '@wasabidyke/platform';

/** A configuration as operators write it. */
export interface WrittenConfiguration {
  version: unknown;
  routes: Record<string, unknown>;
  tenants: unknown;
  [name: string]: unknown;
}

/** Writes a configuration with a closed and a public route. */
export function writeConfiguration(
  tenants: unknown,
  version = '1',
): WrittenConfiguration {
  const route = {
    host: 'shop.example',
    kind: 'safe',
    priority: 3,
    service: 'shop',
  };
  return {
    version,
    routes: {
      closed: {...route, prefix: '/closed/'},
      public: {...route, prefix: '/public/', public: true},
    },
    services: {shop: {health_path: '/load', max_connections: 200}},
    limits: {
      max_header_bytes: 8192,
      max_body_bytes: 100_000,
      header_timeout: '3s',
      idle_timeout: '15s',
    },
    tenants,
  };
}

/** Decodes a configuration. */
export function decodeConfiguration(
  written: object | string,
  decoder = new PlatformDecoder(),
): {configuration?: RoutingConfiguration; problem?: string} {
  const text = typeof written === 'string' ? written : JSON.stringify(written);
  const decoded = decoder.decode('op/config', Buffer.from(text));
  return decoded.kind === 'configuration' ? decoded : {};
}

/** An account. */
export function createAccount(changes: Partial<ClientAccount>): ClientAccount {
  return {
    name: 'alpha',
    keys: [],
    requestsPerSecond: 0,
    burst: 0,
    allowedRegions: [],
    ...changes,
  };
}

/** So many accounts with two keys each. */
export function createAccounts(count: number): ClientAccount[] {
  return Array.from({length: count}, (_, index) =>
    createAccount({name: `account-${index}`, keys: keysOf(index)}),
  );
}

/** The keys of an account by its index. */
export function keysOf(index: number): string[] {
  return [`${index}-first-4be1c07d92`, `${index}-second-77e0c1ab3f`];
}

/** A route of a host. */
export function createRoute(
  prefix: string,
  name = prefix,
  host = 'shop.example',
): Route {
  return {
    name,
    host,
    prefix,
    kind: 'idempotent',
    timeoutMs: 1_000,
    targetLatencyMs: 200,
    priority: 1,
    maximumAttempts: 1,
    targets: [{name: 'shop', weight: 1}],
    allowedRegions: [],
    isPublic: false,
  };
}

/** A table of routes and accounts. */
export function createTable(
  routes: readonly Route[],
  accounts: readonly ClientAccount[],
): RoutingTable {
  return new RoutingTable({
    version: 1,
    routes,
    accounts,
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}
