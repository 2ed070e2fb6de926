/** Decides in which availability zones a request may be served: by its allowed regions and by evacuations. */

import {
  isRegionAllowed,
  type AllowedRegions,
} from '../routing/allowed-regions.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import {Evacuations} from './evacuations.js';
import type {UpstreamHandle} from './upstream-handle.js';
import {ZoneRegions, type ZoneSettings} from './zone-regions.js';

/** Options of `Placement`. */
export interface PlacementOptions {
  readonly settings: ZoneSettings;
  readonly log: DecisionLog;
  /** Called when the evacuation of a zone has ended, before its upstreams get requests again. */
  readonly onTakenBack?: (zone: string) => void;
}

/** Why no upstream of a service may serve a request, wherever it is sent from. */
export type PlacementObstacle = 'no-allowed-upstream' | 'evacuated';

/** What a refusal's log line says of the zones that a request could not use. */
export interface PlacementFields {
  /** Allowed regions, separated by commas; undefined if all are allowed. */
  readonly allowedRegions: string | undefined;
  /** Evacuated zones, separated by commas; undefined if there are none. */
  readonly evacuatedZones: string | undefined;
}

/** The zones in which requests may be served now. */
export class Placement {
  /** The zones and regions of the deployment. */
  readonly zones: ZoneRegions;
  /** The zones that are evacuated. */
  readonly evacuations: Evacuations;

  constructor({settings, log, onTakenBack}: PlacementOptions) {
    this.zones = new ZoneRegions(settings);
    this.evacuations = new Evacuations({zones: this.zones, log, onTakenBack});
  }

  /** Applies changed settings. */
  applySettings(settings: ZoneSettings): void {
    this.zones.apply(settings);
    this.evacuations.onZonesChanged();
  }

  /** Whether a request may be sent to an upstream now. */
  allows(handle: UpstreamHandle, allowed: AllowedRegions): boolean {
    if (allowed === undefined && this.evacuations.size === 0) {
      return true;
    }
    const {zone} = handle.record;
    return (
      isRegionAllowed(allowed, this.zones.regionOf(zone)) &&
      !this.evacuations.has(zone)
    );
  }

  /**
   * Why none of a service's upstreams may serve a request; undefined if one
   * may, or if there are none.
   */
  findObstacle(
    handles: readonly UpstreamHandle[],
    allowed: AllowedRegions,
  ): PlacementObstacle | undefined {
    const isFree = allowed === undefined && this.evacuations.size === 0;
    if (isFree || handles.length === 0) {
      return undefined;
    }
    if (handles.some(handle => this.allows(handle, allowed))) {
      return undefined;
    }
    const isInAllowedRegion = handles.some(({record}) =>
      isRegionAllowed(allowed, this.zones.regionOf(record.zone)),
    );
    return isInAllowedRegion ? 'evacuated' : 'no-allowed-upstream';
  }

  /** What the log says of a refused request. */
  describe(allowed: AllowedRegions): PlacementFields {
    const {zones} = this.evacuations;
    return {
      allowedRegions: allowed && [...allowed].join(),
      evacuatedZones: zones.length === 0 ? undefined : zones.join(),
    };
  }
}
