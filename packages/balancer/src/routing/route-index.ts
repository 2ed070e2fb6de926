/** Routes indexed by host and path prefix. */

import type {Route} from './routing-configuration.js';

const SLASH = '/';

/** The routes of one host whose prefixes have one length. */
interface PrefixGroup {
  readonly length: number;
  readonly routes: Map<string, Route>;
  /** Whether all prefixes end with a slash, so that most paths are told apart by one character. */
  endsWithSlash: boolean;
}

/**
 * Finds routes by the longest prefix. The cost of a lookup grows with the
 * number of different prefix lengths of a host, not with its number of routes.
 */
export class RouteIndex {
  /** Groups of each host, the longest prefixes first. */
  readonly #groupsByHost = new Map<string, PrefixGroup[]>();

  /** @param routes Of two routes with the same host and prefix, the first one counts. */
  constructor(routes: readonly Route[]) {
    const hosts = new Map<string, Map<number, PrefixGroup>>();
    for (const route of routes) {
      const host = toHostName(route.host);
      const groups = hosts.get(host) ?? new Map<number, PrefixGroup>();
      hosts.set(host, groups);
      addRoute(groups, route);
    }
    for (const [host, groups] of hosts) {
      const sorted = [...groups.values()].sort(
        (left, right) => right.length - left.length,
      );
      this.#groupsByHost.set(host, sorted);
    }
  }

  /** Whether a host has routes. */
  hasHost(host: string | undefined): boolean {
    return this.#groupsByHost.has(toHostName(host ?? ''));
  }

  /** Finds the matching route with the longest prefix. @param url Path with or without a query. */
  find(host: string | undefined, url: string): Route | undefined {
    const groups = this.#groupsByHost.get(toHostName(host ?? ''));
    if (groups === undefined) {
      return undefined;
    }
    const queryAt = url.indexOf('?');
    const pathLength = queryAt === -1 ? url.length : queryAt;
    for (const {length, routes, endsWithSlash} of groups) {
      const canMatch =
        length <= pathLength && (!endsWithSlash || url[length - 1] === SLASH);
      const route = canMatch ? routes.get(url.slice(0, length)) : undefined;
      if (route !== undefined) {
        return route;
      }
    }
    return undefined;
  }
}

function addRoute(groups: Map<number, PrefixGroup>, route: Route): void {
  const {prefix} = route;
  const {length} = prefix;
  const group = groups.get(length) ?? {
    length,
    routes: new Map<string, Route>(),
    endsWithSlash: true,
  };
  groups.set(length, group);
  group.endsWithSlash &&= prefix.endsWith(SLASH);
  if (!group.routes.has(prefix)) {
    group.routes.set(prefix, route);
  }
}

/** Normalizes a `Host` header: without a port, and in lower case. */
export function toHostName(host: string): string {
  const portAt = host.lastIndexOf(':');
  // The port may be empty (RFC 3986, section 3.2.3).
  const hasPort = portAt > -1 && /^\d*$/.test(host.slice(portAt + 1));
  return (hasPort ? host.slice(0, portAt) : host).toLowerCase();
}
