/** Availability zones whose upstreams get no requests, because an operator evacuates them. */

import type {DecisionLog} from '../reporting/decision-log.js';
import type {ZoneRegions} from './zone-regions.js';

/** Options of `Evacuations`. */
export interface EvacuationsOptions {
  readonly zones: ZoneRegions;
  readonly log: DecisionLog;
  /**
   * Called when the evacuation of a zone has ended, before its upstreams get
   * requests again: what is known of their state is old.
   */
  readonly onTakenBack?: (zone: string) => void;
}

/**
 * Evacuations, by the latest read of the store. Only those of zones that the
 * settings name are in force.
 */
export class Evacuations {
  readonly #options: EvacuationsOptions;
  /** Zones that have a record, those included that the settings don't name. */
  readonly #recorded = new Set<string>();
  readonly #inForce = new Set<string>();

  constructor(options: EvacuationsOptions) {
    this.#options = options;
  }

  /** Number of zones that are evacuated. */
  get size(): number {
    return this.#inForce.size;
  }

  /** The zones that are evacuated. */
  get zones(): readonly string[] {
    return [...this.#inForce];
  }

  /** Whether a zone is evacuated. */
  has(zone: string): boolean {
    return this.#inForce.has(zone);
  }

  /** Applies the record of a zone, or its deletion. */
  apply(zone: string, isInForce: boolean): void {
    const wasRecorded = this.#recorded.has(zone);
    if (!isInForce) {
      this.#recorded.delete(zone);
    } else if (!wasRecorded) {
      this.#recorded.add(zone);
      if (!this.#options.zones.hasZone(zone)) {
        this.#options.log.record('zone.unknown', {zone});
      }
    }
    this.#update(zone);
  }

  /** Ends the evacuations without a record in a complete read. */
  onCompleteRead(zones: ReadonlySet<string>): void {
    for (const zone of [...this.#recorded]) {
      if (!zones.has(zone)) {
        this.apply(zone, false);
      }
    }
  }

  /** Called when the settings name other zones than before. */
  onZonesChanged(): void {
    for (const zone of [...this.#recorded]) {
      this.#update(zone);
    }
  }

  #update(zone: string): void {
    const {zones, log, onTakenBack} = this.#options;
    const isInForce = this.#recorded.has(zone) && zones.hasZone(zone);
    if (isInForce === this.#inForce.has(zone)) {
      return;
    }
    if (isInForce) {
      this.#inForce.add(zone);
      log.record('zone.evacuated', {zone, region: zones.regionOf(zone)});
    } else {
      onTakenBack?.(zone);
      this.#inForce.delete(zone);
      log.record('zone.taken-back', {zone, region: zones.regionOf(zone)});
    }
  }
}
