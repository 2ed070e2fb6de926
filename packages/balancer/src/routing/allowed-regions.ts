/** Regions in which a request may be served. */

/** Names of regions; undefined if all are allowed. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/** Combines the lists of a route and of a client account: both bind, and an empty list allows all regions. */
export function combineAllowedRegions(
  ofRoute: readonly string[],
  ofAccount: readonly string[] = [],
): AllowedRegions {
  if (ofRoute.length === 0 || ofAccount.length === 0) {
    const regions = ofRoute.length === 0 ? ofAccount : ofRoute;
    return regions.length === 0 ? undefined : new Set(regions);
  }
  return new Set(ofRoute.filter(region => ofAccount.includes(region)));
}

/** Whether a request may be served in a region. @param region Undefined if not known. */
export function isRegionAllowed(
  allowed: AllowedRegions,
  region: string | undefined,
): boolean {
  return allowed === undefined || (region !== undefined && allowed.has(region));
}

/** The regions that both allow. */
export function intersectAllowedRegions(
  left: AllowedRegions,
  right: AllowedRegions,
): AllowedRegions {
  if (left === undefined || right === undefined) {
    return left ?? right;
  }
  return new Set([...left].filter(region => right.has(region)));
}
