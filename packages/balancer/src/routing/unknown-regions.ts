/** Finds region names in a configuration that the settings don't name: a misspelt one matches nothing. */

import type {RoutingConfiguration} from './routing-configuration.js';

/** A region that lists name and the settings don't. */
export interface UnknownRegion {
  readonly region: string;
  /** Number of routes and of client accounts whose lists name it. */
  readonly routes: number;
  readonly accounts: number;
  /** Name of the first of them. */
  readonly subject: string;
}

/** Finds the unknown regions of a configuration. @param isKnown Whether the settings name a region. */
export function findUnknownRegions(
  {routes, accounts = []}: RoutingConfiguration,
  isKnown: (region: string) => boolean,
): readonly UnknownRegion[] {
  const found = new Map<string, UnknownRegion>();
  const count = (
    lists: RoutingConfiguration['routes'] | typeof accounts,
    kind: 'routes' | 'accounts',
  ) => {
    for (const {name, allowedRegions} of lists) {
      for (const region of new Set(allowedRegions)) {
        const known = found.get(region);
        if (known !== undefined) {
          found.set(region, {...known, [kind]: known[kind] + 1});
        } else if (!isKnown(region)) {
          const none = {region, routes: 0, accounts: 0, subject: name};
          found.set(region, {...none, [kind]: 1});
        }
      }
    }
  };
  count(routes, 'routes');
  count(accounts, 'accounts');
  return [...found.values()];
}
