/** Finds the route, the service and the client account of a caller's request. */

import type {IncomingHttpHeaders} from 'node:http';
import type {WireProtocol} from '../exchange/wire-protocol.js';
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

/** A request that the configuration doesn't allow. */
export interface RoutingRejection {
  readonly kind: 'rejection';
  /** 401 or 404. */
  readonly status: number;
  /** Event under which the rejection is logged. */
  readonly event: 'request.unrouted' | 'request.unauthorized';
}

/** Options of `RequestRouter`. */
export interface RequestRouterOptions {
  readonly protocol: WireProtocol;
  readonly routeState: RouteState;
}

const UNROUTED: RoutingRejection = {
  kind: 'rejection',
  status: 404,
  event: 'request.unrouted',
};
const UNAUTHORIZED: RoutingRejection = {
  kind: 'rejection',
  status: 401,
  event: 'request.unauthorized',
};

/** Routes callers' requests by one version of the configuration. */
export class RequestRouter {
  readonly #options: RequestRouterOptions;

  constructor(options: RequestRouterOptions) {
    this.#options = options;
  }

  /** @param accountKey Undefined if the caller sent none. */
  route(
    table: RoutingTable,
    url: string,
    headers: IncomingHttpHeaders,
    accountKey: string | undefined,
  ): RequestDestination | RoutingRejection {
    const route = table.findRoute(headers.host, url);
    if (route === undefined) {
      return UNROUTED;
    }
    const account = this.#findAccount(table, route, accountKey);
    if (account === 'unknown') {
      return UNAUTHORIZED;
    }
    const service = this.#options.routeState.nextService(route);
    if (service === undefined) {
      return UNROUTED;
    }
    return {
      kind: 'destination',
      route,
      service,
      account,
      priority: account?.priority ?? route.priority,
      allowedRegions: combineAllowedRegions(
        route.allowedRegions,
        account?.allowedRegions,
      ),
      headers: table.hasAccounts
        ? this.#options.protocol.toAccountHeaders(headers, account?.name)
        : headers,
    };
  }

  #findAccount(
    table: RoutingTable,
    route: Route,
    key: string | undefined,
  ): ClientAccount | 'unknown' | undefined {
    if (!table.hasAccounts || route.isPublic) {
      return undefined;
    }
    const account = key === undefined ? undefined : table.findAccountByKey(key);
    return account ?? 'unknown';
  }
}
