/** Routes and limits of the configurations of a run, as operators write them. */

import type {CallRecord, ConfigurationRecord} from './history.js';

/** Host of the usual routes, and another one that some routes are on. */
export const HOST = 'shop.example';
export const OTHER_HOST = 'fair.example';

/** A route of a configuration; its weights are those of its services. */
export interface RouteRecord {
  readonly host: string;
  readonly prefix: string;
  readonly weights: Readonly<Record<string, number>>;
}

/** The largest requests that a configuration allows, in bytes. */
export interface LimitRecord {
  readonly headBytes: number;
  readonly bodyBytes: number;
}

/** Whether a configuration allows a request: it has a route with a service for it, and allows its size. */
export function allows(
  {routes, limits}: ConfigurationRecord,
  {host = HOST, path, headBytes = 0, bodyBytes = 0}: CallRecord,
): boolean {
  const [longest] = routes
    .filter(route => route.host === host && path.startsWith(route.prefix))
    .sort((left, right) => right.prefix.length - left.prefix.length);
  return (
    Object.values(longest?.weights ?? {}).some(weight => weight > 0) &&
    headBytes <= limits.headBytes &&
    bodyBytes <= limits.bodyBytes
  );
}
