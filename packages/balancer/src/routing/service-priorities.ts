/** Priorities of the requests that can arrive at each service. */

import type {
  ClientAccount,
  RoutingConfiguration,
} from './routing-configuration.js';

/**
 * Finds the priorities by service: those of the routes with a weight for it and,
 * on routes that need a key, those of the accounts that hold one.
 */
export function findPrioritiesByService({
  routes,
  accounts,
}: RoutingConfiguration): ReadonlyMap<string, ReadonlySet<number>> {
  const accountPriorities = accounts && toAccountPriorities(accounts);
  const prioritiesByService = new Map<string, Set<number>>();
  for (const route of routes) {
    const needsKey = accountPriorities !== undefined && !route.isPublic;
    const priorities = needsKey ? accountPriorities : [undefined];
    for (const {name, weight} of route.targets) {
      // A single target is used whatever its weight.
      if (weight > 0 || route.targets.length === 1) {
        const known = prioritiesByService.get(name) ?? new Set();
        prioritiesByService.set(name, known);
        priorities.forEach(priority => known.add(priority ?? route.priority));
      }
    }
  }
  return prioritiesByService;
}

/** Returns the different priorities of the accounts that can be used; undefined stands for the route's. */
function toAccountPriorities(
  accounts: readonly ClientAccount[],
): ReadonlyArray<number | undefined> {
  const usable = accounts.filter(({keys}) => keys.length > 0);
  return [...new Set(usable.map(({priority}) => priority))];
}
