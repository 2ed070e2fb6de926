/** The region of each availability zone, as the settings of a deployment name them. */

/** The part of the settings that names zones and regions. */
export interface ZoneSettings {
  /** Availability zone of this entry. */
  readonly zone: string;
  /** Region of this entry. */
  readonly region: string;
  /** The region of each availability zone. */
  readonly regionByZone: Readonly<Record<string, string>>;
}

/** Availability zones and regions that the settings name. */
export class ZoneRegions {
  #regions: ReadonlyMap<string, string>;
  #ownRegion: string;

  constructor(settings: ZoneSettings) {
    this.#regions = toRegions(settings);
    this.#ownRegion = settings.region;
  }

  /** Region of this entry. */
  get ownRegion(): string {
    return this.#ownRegion;
  }

  /** Replaces the zones and their regions. */
  apply(settings: ZoneSettings): void {
    this.#regions = toRegions(settings);
    this.#ownRegion = settings.region;
  }

  /** The region of a zone; undefined if the settings don't name the zone. */
  regionOf(zone: string): string | undefined {
    return this.#regions.get(zone);
  }

  /** Whether the settings name a zone. */
  hasZone(zone: string): boolean {
    return this.#regions.has(zone);
  }
}

/** A map, because zone names from the store may be those of properties that every object has. */
function toRegions({
  zone,
  region,
  regionByZone,
}: ZoneSettings): ReadonlyMap<string, string> {
  return new Map([[zone, region], ...Object.entries(regionByZone)]);
}
