/** Finds the route, the service and the client account of a caller's request. */

import type {IncomingHttpHeaders} from 'node:http';
import type {CallerMetadata, WireProtocol} from '../exchange/wire-protocol.js';
import {
  combineAllowedRegions,
  type AllowedRegions,
} from '../routing/allowed-regions.js';
import type {ClientAccount, Route} from '../routing/routing-configuration.js';
import type {RoutingTable} from '../routing/routing-table.js';
import type {RouteState} from './route-state.js';

/** Where a request goes, and on whose account. */
export interface RequestDestination {
  readonly kind: 'destination';
  readonly route: Route;
  readonly service: string;
  readonly account: ClientAccount | undefined;
  readonly priority: number;
  readonly allowedRegions: AllowedRegions;
  /** The headers to pass on: without the key of the account, but with its name. */
  readonly headers: IncomingHttpHeaders;
}

/** A route whose services all have weight 0: its requests are allowed, but none takes them now. */
export interface UnservedRoute {
  readonly kind: 'unserved';
  readonly route: Route;
  readonly account: ClientAccount | undefined;
}

/** Why a request is not authorized. */
export type KeyProblem =
  'missing-key' | 'repeated-key' | 'unknown-key' | 'revoked-key';

/** Why a request has no service: its host has no route, none for the path, or the services of its route all have weight 0. */
export type RouteProblem = 'unknown-host' | 'unknown-path';

/** A request that the configuration doesn't allow. */
export interface RoutingRejection {
  readonly kind: 'rejection';
  /** 401 or 404. */
  readonly status: number;
  /** Event under which the rejection is logged. */
  readonly event: 'request.unrouted' | 'request.unauthorized';
  /** The configuration that rejects it. */
  readonly table: RoutingTable;
  /** Name of the route; undefined without one. */
  readonly route?: string;
  readonly reason: KeyProblem | RouteProblem;
  /** Name of the account that a revoked key belonged to. */
  readonly account?: string;
}

/** A request's key leads to another account than before, or its route needs one now, or none any more. */
export interface AccountChange {
  readonly kind: 'account-change';
}

/** What a request was routed by. */
export interface FormerRouting {
  readonly table: RoutingTable;
  readonly account: ClientAccount | undefined;
}

/** The keys that a request carries. */
export type RequestKeys = Pick<CallerMetadata, 'accountKey' | 'hasRepeatedKey'>;

/** Options of `RequestRouter`. */
export interface RequestRouterOptions {
  readonly protocol: WireProtocol;
  readonly routeState: RouteState;
}

/** Routes callers' requests by one version of the configuration. */
export class RequestRouter {
  readonly #options: RequestRouterOptions;

  constructor(options: RequestRouterOptions) {
    this.#options = options;
  }

  /** Routes a request. */
  route(
    table: RoutingTable,
    url: string,
    headers: IncomingHttpHeaders,
    keys: RequestKeys,
  ): RequestDestination | UnservedRoute | RoutingRejection {
    const route = table.findRoute(headers.host, url);
    if (route === undefined) {
      const isKnown = table.hasHost(headers.host);
      return toUnrouted(table, isKnown ? 'unknown-path' : 'unknown-host');
    }
    const account = findAccount(table, route, keys);
    if (account?.kind === 'rejection') {
      return account;
    }
    const service = this.#options.routeState.nextService(route);
    if (service === undefined) {
      return {kind: 'unserved', route, account: account?.account};
    }
    const found = account?.account;
    return {
      kind: 'destination',
      route,
      service,
      account: found,
      priority: found?.priority ?? route.priority,
      allowedRegions: combineAllowedRegions(
        route.allowedRegions,
        found?.allowedRegions,
      ),
      // Also without accounts: callers may send keys before this entry knows of them.
      headers: this.#options.protocol.toAccountHeaders(headers, found?.name),
    };
  }

  /**
   * Checks the key of a routed request again if the configuration has changed
   * since: a body may take longer to arrive than a revoked key is accepted.
   * @param former Version that the request was routed by, and the account then.
   * @returns Undefined if the request may go on with what it was routed by.
   */
  recheck(
    former: FormerRouting,
    newest: RoutingTable | undefined,
    url: string,
    headers: IncomingHttpHeaders,
    keys: RequestKeys,
  ): RoutingRejection | AccountChange | undefined {
    if (newest === undefined || newest === former.table) {
      return undefined;
    }
    const route = newest.findRoute(headers.host, url);
    if (route === undefined) {
      return undefined;
    }
    const found = findAccount(newest, route, keys);
    if (found?.kind === 'rejection') {
      return found;
    }
    // Changed rights of the same account apply from its next request on.
    const isSame = found?.account.name === former.account?.name;
    return isSame ? undefined : {kind: 'account-change'};
  }
}

/** Finds the account of a request; undefined if it needs none. */
function findAccount(
  table: RoutingTable,
  route: Route,
  {accountKey, hasRepeatedKey}: RequestKeys,
):
  | {readonly kind: 'account'; readonly account: ClientAccount}
  | RoutingRejection
  | undefined {
  if (!table.hasAccounts || route.isPublic) {
    return undefined;
  }
  if (hasRepeatedKey) {
    return toUnauthorized(table, route, 'repeated-key');
  }
  if (accountKey === undefined || accountKey === '') {
    return toUnauthorized(table, route, 'missing-key');
  }
  const account = table.findAccountByKey(accountKey);
  if (account !== undefined) {
    return {kind: 'account', account};
  }
  const former = table.accounts.findRevoked(accountKey);
  return former === undefined
    ? toUnauthorized(table, route, 'unknown-key')
    : toUnauthorized(table, route, 'revoked-key', former);
}

function toUnrouted(
  table: RoutingTable,
  reason: RouteProblem,
): RoutingRejection {
  return {
    kind: 'rejection',
    status: 404,
    event: 'request.unrouted',
    table,
    reason,
  };
}

function toUnauthorized(
  table: RoutingTable,
  route: Route,
  reason: KeyProblem,
  account?: string,
): RoutingRejection {
  return {
    kind: 'rejection',
    status: 401,
    event: 'request.unauthorized',
    table,
    route: route.name,
    reason,
    account,
  };
}
