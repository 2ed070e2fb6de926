/** Announced entries, for callers and for choosing feeders. */

import type {EntryList, LivenessTracker} from '@wasabidyke/policy';
import {
  isBefore,
  UNNAMED_ERA,
  type StorePosition,
} from '../store/store-eras.js';
import {
  isRegionAllowed,
  type AllowedRegions,
} from '../routing/allowed-regions.js';
import type {EntryRecord} from './entry-record.js';

/** Region and availability zone of a caller, and the host that it asks for; undefined when not known. */
export interface CallerPlace {
  readonly region: string | undefined;
  readonly zone: string | undefined;
  readonly host?: string | undefined;
}

/** Minimum number of entries listed for a caller, if there are as many: one may fail before the list expires. */
const MINIMUM_LISTED = 2;

/** Maximum number of entries listed for a caller. */
const MAXIMUM_LISTED = 64;

/** Time within which entries must announce themselves again after a store outage, in milliseconds. Source: announcements are renewed within it. */
const GRACE_PERIOD_MS = 3_000;

interface Member {
  readonly record: EntryRecord;
  /** Position of the announcement in the store; an older entry has an earlier one. */
  readonly position: StorePosition;
  /** Set while the announcement is missing: time at which the entry is removed. */
  removeAtMs: number | undefined;
}

/** Keeps track of the announced entries. */
export class EntryRoster {
  readonly #members = new Map<string, Member>();
  readonly #ownRecord: EntryRecord;
  readonly #liveness: LivenessTracker;
  #isSelfListed = true;
  #era = UNNAMED_ERA;

  constructor(ownRecord: EntryRecord, liveness: LivenessTracker) {
    this.#ownRecord = ownRecord;
    this.#liveness = liveness;
  }

  /** Number of announced entries, this one included. */
  get size(): number {
    return this.#members.size + Number(!this.isSelfAnnounced);
  }

  /** Whether the store holds the announcement of this entry, as far as it is known. */
  get isSelfAnnounced(): boolean {
    return this.#members.has(this.#ownRecord.name);
  }

  /** Removes this entry from the lists for callers, because it is stopping. */
  unlistSelf(): void {
    this.#isSelfListed = false;
  }

  /** Whether no entry is announced. */
  get isEmpty(): boolean {
    return this.#members.size === 0;
  }

  /**
   * Lists the entries that may feed this one, best first: the older entries of
   * its availability zone or, for the oldest of its zone, the older entries of
   * all zones. Feeders are always older, so that no cycles form and an entry
   * that joins replaces no feeder. An entry that is not announced yet uses only
   * feeders of its zone: when all start together, they would read all records
   * over links that are billed.
   */
  listFeeders(): readonly EntryRecord[] {
    const {name, zone} = this.#ownRecord;
    const current = [...this.#members.values()].filter(
      ({position}) => position.era === this.#era,
    );
    const own = current.find(({record}) => record.name === name);
    const ownRevision = own?.position.revision ?? Infinity;
    const older = current
      .filter(({position}) => position.revision < ownRevision)
      .filter(({record}) => this.#isFeeder(record))
      .sort((left, right) => left.position.revision - right.position.revision)
      .map(({record}) => record);
    const sameZone = older.filter(record => record.zone === zone);
    const isOldestInZone = sameZone.length === 0 && own !== undefined;
    return isOldestInZone ? older : sameZone;
  }

  /** Where the store names its era, what an entry feeds without one may be of any. */
  #isFeeder({feedAddress, tellsEra}: EntryRecord): boolean {
    return (
      feedAddress !== undefined &&
      (tellsEra === true || this.#era === UNNAMED_ERA)
    );
  }

  /** Called with the era of what is read next: announcements of earlier ones order no entries. */
  onEra(era: number): void {
    if (era !== this.#era) {
      this.#era = era;
      this.#liveness.forgetUnnumbered();
    }
  }

  /** Names of the entries that write again what the store has lost of an entry that is down, in a stable order. */
  listRestorers(): readonly string[] {
    return this.#listedRecords()
      .filter(({tellsEra}) => tellsEra === true)
      .map(({name}) => name)
      .sort();
  }

  /** The entries that are up, this one included unless it is stopping, sorted by name. */
  listUp(): EntryList {
    return this.#listedRecords()
      .map(({name, zone, region}) => ({
        name,
        zone,
        region,
        isAnnounced: this.#members.has(name),
      }))
      .sort((left, right) => (left.name < right.name ? -1 : 1));
  }

  /** All entries, and whether each is up; this one is unless it is stopping. */
  listMembers(): ReadonlyArray<{record: EntryRecord; isUp: boolean}> {
    const own = {record: this.#ownRecord, isUp: this.#isSelfListed};
    const others = [...this.#members.values()]
      .map(({record}) => record)
      .filter(({name}) => name !== this.#ownRecord.name)
      .map(record => ({record, isUp: !this.#liveness.isDown(record.name)}));
    return [own, ...others];
  }

  /** The other entries that take messages from entries. */
  listPeers(): readonly EntryRecord[] {
    return [...this.#members.values()]
      .map(({record}) => record)
      .filter(({name}) => name !== this.#ownRecord.name)
      .filter(({feedAddress}) => feedAddress !== undefined);
  }

  /** Those of them that are up, as far as this entry knows. */
  listResponsivePeers(): readonly EntryRecord[] {
    return this.listPeers().filter(({name}) =>
      this.#liveness.isResponsive(name),
    );
  }

  /** Whether another entry that takes messages has an IP address. */
  isPeerAddress(address: string): boolean {
    return this.listPeers().some(({feedAddress}) =>
      feedAddress?.startsWith(`${address}:`),
    );
  }

  /** Adds or updates an entry. @param position Position of its announcement in the store. */
  onRecord(record: EntryRecord, position: StorePosition): void {
    const known = this.#members.get(record.name);
    if (known !== undefined && isBefore(position, known.position)) {
      return;
    }
    const {name, sequence = position.revision} = record;
    if (record.sequence === undefined) {
      this.#liveness.onAnnouncedUnnumbered(name, sequence);
    } else {
      this.#liveness.onAnnounced(name, sequence);
    }
    const numbered = {...record, sequence};
    this.#members.set(name, {
      record: numbered,
      position,
      removeAtMs: undefined,
    });
  }

  /**
   * Removes an entry whose announcement vanished.
   * @param mayReappear Whether the store was just unavailable, so that the entry gets a grace period.
   */
  onVanished(name: string, nowMs: number, mayReappear: boolean): void {
    const member = this.#members.get(name);
    if (member === undefined || !mayReappear) {
      this.#members.delete(name);
      return;
    }
    member.removeAtMs ??= nowMs + GRACE_PERIOD_MS;
  }

  /** Removes the entries that are missing in a complete read. */
  onCompleteRead(
    names: ReadonlySet<string>,
    nowMs: number,
    mayReappear: boolean,
  ): void {
    for (const name of [...this.#members.keys()]) {
      if (!names.has(name)) {
        this.onVanished(name, nowMs, mayReappear);
      }
    }
  }

  /** Removes entries whose grace period has ended. */
  onTick(nowMs: number): void {
    for (const [name, {removeAtMs}] of this.#members) {
      if (removeAtMs !== undefined && removeAtMs <= nowMs) {
        this.#members.delete(name);
      }
    }
  }

  /**
   * Addresses for a caller: those of its availability zone; if these are too
   * few, also of its region, then of all allowed regions.
   * @param allowed Regions that the routes of the caller's host allow.
   */
  list(place: CallerPlace, allowed?: AllowedRegions): readonly string[] {
    const all = this.#listedRecords();
    const addresses = new Set<string>();
    const groups = [
      all.filter(({zone}) => zone === place.zone),
      all.filter(({region}) => region === place.region),
      all.filter(({region}) => isRegionAllowed(allowed, region)),
    ];
    for (const group of groups) {
      if (addresses.size >= MINIMUM_LISTED) {
        break;
      }
      for (const {address} of group) {
        addresses.add(address);
      }
    }
    return [...addresses].slice(0, MAXIMUM_LISTED);
  }

  #listedRecords(): readonly EntryRecord[] {
    const others = [...this.#members.values()]
      .map(({record}) => record)
      .filter(({name}) => name !== this.#ownRecord.name);
    const up = others.filter(({name}) => !this.#liveness.isDown(name));
    if (this.#isSelfListed) {
      return [this.#ownRecord, ...up];
    }
    // A caller without any entry is worse off than one that tries a doubtful one.
    return up.length > 0 ? up : others;
  }
}
