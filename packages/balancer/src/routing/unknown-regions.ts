/** Regions that a configuration names and that the deployment doesn't have. */

import type {RoutingConfiguration} from './routing-configuration.js';

/** Maximum number of names in one log line: enough to find the mistake, and short enough to read. */
const MAXIMUM_NAMES = 10;

/** Regions that are not known, and where they are named. */
export interface UnknownRegions {
  /** Number of different regions. */
  readonly count: number;
  /** Their names, separated by commas; the first ones if there are many. */
  readonly regions: string;
  /** Routes and accounts that name them; the first ones if there are many. */
  readonly subjects: string;
}

/** Finds the allowed regions that the settings don't name; undefined if all are known. They match no upstream. */
export function findUnknownRegions(
  {routes, accounts = []}: RoutingConfiguration,
  known: ReadonlySet<string>,
): UnknownRegions | undefined {
  const regions = new Set<string>();
  const subjects: string[] = [];
  const inspect = (kind: string, name: string, allowed: readonly string[]) => {
    const unknown = allowed.filter(region => !known.has(region));
    unknown.forEach(region => regions.add(region));
    if (unknown.length > 0 && subjects.length < MAXIMUM_NAMES) {
      subjects.push(`${kind} ${name}`);
    }
  };
  routes.forEach(route => inspect('route', route.name, route.allowedRegions));
  accounts.forEach(({name, allowedRegions}) =>
    inspect('account', name, allowedRegions),
  );
  if (regions.size === 0) {
    return undefined;
  }
  return {
    count: regions.size,
    regions: [...regions].slice(0, MAXIMUM_NAMES).join(', '),
    subjects: subjects.join(', '),
  };
}
