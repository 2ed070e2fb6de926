/** Configurations of made-up histories of a soak. */

import {ChangingRoutes, type ConfigurationRecord} from '@wasabidyke/soak';

/** A configuration with the routes that a run begins with. */
export function toConfigurationRecord(
  version: number,
  movedTo: string,
  atMs: number,
): ConfigurationRecord {
  const {routes, limits} = new ChangingRoutes();
  return {version, movedTo, routes: [...routes.values()], limits, atMs};
}
