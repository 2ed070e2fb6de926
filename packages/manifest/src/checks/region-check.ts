/** Checks of regions and availability zones. */

import {ManifestCheck, place} from './manifest-check.js';

/** Regions and availability zones have names of their own. */
export class RegionCheck extends ManifestCheck {
  override run(): void {
    const regions = place(this.manifest.regions, ['regions']);
    const names = regions.map(({part, path}) => ({
      part: part.name,
      path: [...path, 'name'],
    }));
    this.checkUnique(names, 'duplicate-region', 'Region');
    const zones = regions.flatMap(({part, path}) =>
      place(part.zones, [...path, 'zones']),
    );
    this.checkUnique(zones, 'duplicate-zone', 'Availability zone');
  }
}
