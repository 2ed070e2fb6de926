/** The entries that callers may use. */

import type {EntryRecord} from './entry-record.js';

/** Where a caller is. */
export interface CallerPlace {
  readonly region: string | undefined;
  readonly zone: string | undefined;
}

/** Entries named to a caller at least, where there are as many: one may fail before the list is old. */
const MINIMUM_NAMED = 2;

/** Entries named to a caller at most. */
const MAXIMUM_NAMED = 64;

/** Time that entries have to announce themselves again after an outage of the store. Source: their announcements are renewed within it. */
const RETURN_TIME_MS = 3_000;

interface Member {
  readonly record: EntryRecord;
  /** The store's revision at which it announced itself. */
  readonly revision: number;
  goneAtMs: number | undefined;
}

/** The entries that are announced. */
export class EntryRoster {
  readonly #members = new Map<string, Member>();
  readonly #self: EntryRecord;
  #isSelfListed = true;

  constructor(self: EntryRecord) {
    this.#self = self;
  }

  /** Entries that are announced, this one included. */
  get size(): number {
    const hasSelf = this.#members.has(this.#self.name);
    return this.#members.size + Number(!hasSelf);
  }

  /** This entry is stopping. */
  leave(): void {
    this.#isSelfListed = false;
  }

  /** Whether any entry is announced. */
  get isEmpty(): boolean {
    return this.#members.size === 0;
  }

  /**
   * The entries that may feed records to this one, best first. All are older,
   * so that nobody feeds in a circle, and one that joins takes over from none:
   * those of its availability zone; for the oldest there, the oldest of all.
   * One that isn't announced yet asks nobody beyond its zone: when all start
   * together, they would read everything over links that are paid for.
   */
  listFeeders(): readonly EntryRecord[] {
    const {name, zone} = this.#self;
    const ownRevision = this.#members.get(name)?.revision ?? Infinity;
    const older = [...this.#members.values()]
      .filter(({revision}) => revision < ownRevision)
      .filter(({record}) => record.feedAddress !== undefined)
      .sort((left, right) => left.revision - right.revision)
      .map(({record}) => record);
    const near = older.filter(record => record.zone === zone);
    const isOldestHere = near.length === 0 && ownRevision < Infinity;
    return isOldestHere ? older : near;
  }

  /** @param revision The store's revision at which it announced itself. */
  onRecord(record: EntryRecord, revision: number): void {
    this.#members.set(record.name, {record, revision, goneAtMs: undefined});
  }

  onVanished(name: string, nowMs: number, mayReturn: boolean): void {
    const member = this.#members.get(name);
    if (member === undefined || !mayReturn) {
      this.#members.delete(name);
      return;
    }
    member.goneAtMs ??= nowMs + RETURN_TIME_MS;
  }

  /** Only these are announced now. */
  onWhole(names: ReadonlySet<string>, nowMs: number, mayReturn: boolean): void {
    for (const name of [...this.#members.keys()]) {
      if (!names.has(name)) {
        this.onVanished(name, nowMs, mayReturn);
      }
    }
  }

  /** Drops what didn't return in time. */
  onPeriod(nowMs: number): void {
    for (const [name, {goneAtMs}] of this.#members) {
      if (goneAtMs !== undefined && goneAtMs <= nowMs) {
        this.#members.delete(name);
      }
    }
  }

  /** The addresses for a caller: its own availability zone, and more of its region or of all where these are few. */
  list(place: CallerPlace): readonly string[] {
    const all = this.#listed();
    const named = new Set<string>();
    const groups = [
      all.filter(({zone}) => zone === place.zone),
      all.filter(({region}) => region === place.region),
      all,
    ];
    for (const group of groups) {
      if (named.size >= MINIMUM_NAMED) {
        break;
      }
      for (const {address} of group) {
        named.add(address);
      }
    }
    return [...named].slice(0, MAXIMUM_NAMED);
  }

  #listed(): readonly EntryRecord[] {
    const others = [...this.#members.values()]
      .map(({record}) => record)
      .filter(({name}) => name !== this.#self.name);
    return this.#isSelfListed ? [this.#self, ...others] : others;
  }
}
