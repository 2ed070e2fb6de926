/** Announced entries, for callers and for choosing feeders. */

import type {LivenessTracker} from '@wasabidyke/policy';
import type {EntryRecord} from './entry-record.js';

/** Region and availability zone of a caller; undefined when not known. */
export interface CallerPlace {
  readonly region: string | undefined;
  readonly zone: string | undefined;
}

/** Minimum number of entries listed for a caller, if there are as many: one may fail before the list expires. */
const MINIMUM_LISTED = 2;

/** Maximum number of entries listed for a caller. */
const MAXIMUM_LISTED = 64;

/** Time within which entries must announce themselves again after a store outage, in milliseconds. Source: announcements are renewed within it. */
const GRACE_PERIOD_MS = 3_000;

interface Member {
  readonly record: EntryRecord;
  /** Store revision of the announcement; an older entry has a lower one. */
  readonly revision: number;
  /** Set while the announcement is missing: time at which the entry is removed. */
  removeAtMs: number | undefined;
}

/** Keeps track of the announced entries. */
export class EntryRoster {
  readonly #members = new Map<string, Member>();
  readonly #ownRecord: EntryRecord;
  readonly #liveness: LivenessTracker;
  #isSelfListed = true;

  constructor(ownRecord: EntryRecord, liveness: LivenessTracker) {
    this.#ownRecord = ownRecord;
    this.#liveness = liveness;
  }

  /** Number of announced entries, this one included. */
  get size(): number {
    const isSelfAnnounced = this.#members.has(this.#ownRecord.name);
    return this.#members.size + Number(!isSelfAnnounced);
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
    const ownRevision = this.#members.get(name)?.revision ?? Infinity;
    const older = [...this.#members.values()]
      .filter(({revision}) => revision < ownRevision)
      .filter(({record}) => record.feedAddress !== undefined)
      .sort((left, right) => left.revision - right.revision)
      .map(({record}) => record);
    const sameZone = older.filter(record => record.zone === zone);
    const isOldestInZone = sameZone.length === 0 && ownRevision < Infinity;
    return isOldestInZone ? older : sameZone;
  }

  /** Names of the entries that are up, this one included unless it is stopping, in a stable order. */
  listUp(): readonly string[] {
    return this.#listedRecords()
      .map(({name}) => name)
      .sort();
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

  /** Adds or updates an entry. @param revision Store revision of its announcement. */
  onRecord(record: EntryRecord, revision: number): void {
    const known = this.#members.get(record.name);
    if (known !== undefined && known.revision > revision) {
      return;
    }
    const {name, sequence = revision} = record;
    if (record.sequence === undefined) {
      this.#liveness.onAnnouncedUnnumbered(name, sequence);
    } else {
      this.#liveness.onAnnounced(name, sequence);
    }
    const numbered = {...record, sequence};
    this.#members.set(name, {
      record: numbered,
      revision,
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

  /** Addresses for a caller: those of its availability zone; if these are too few, also of its region, then of all regions. */
  list(place: CallerPlace): readonly string[] {
    const all = this.#listedRecords();
    const addresses = new Set<string>();
    const groups = [
      all.filter(({zone}) => zone === place.zone),
      all.filter(({region}) => region === place.region),
      all,
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
