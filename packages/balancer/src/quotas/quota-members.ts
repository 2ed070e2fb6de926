/** The entries that grant requests, as this entry knows them. */

import {
  GrantingEntryChoice,
  grantingPart,
  type GrantingScope,
} from '@wasabidyke/policy';
import type {EntryRecord} from '../members/entry-record.js';
import type {EntryRoster} from '../members/entry-roster.js';

/** Time for which a region counts although none of its entries is announced any more, in milliseconds. Source: by then, entries that reach neither the store nor another region have stopped granting. */
const REGION_MEMORY_MS = 30_000;

/** Entries by region, and the part of its region's share that this entry may grant. */
export class QuotaMembers {
  readonly #roster: EntryRoster;
  readonly #own: EntryRecord;
  readonly #choices = new Map<string, GrantingEntryChoice>();
  readonly #records = new Map<string, EntryRecord>();
  /** When each other region last had an announced entry. */
  readonly #seenAtMs = new Map<string, number>();
  #part = 0;

  constructor(roster: EntryRoster, own: EntryRecord) {
    this.#roster = roster;
    this.#own = own;
  }

  /** Name of this entry. */
  get self(): string {
    return this.#own.name;
  }

  get region(): string {
    return this.#own.region;
  }

  /** What this entry knows of others that grant. */
  get scope(): GrantingScope {
    return {otherRegions: [...this.#seenAtMs.keys()], part: this.#part};
  }

  /** Number of announced entries. */
  get size(): number {
    return this.#roster.size;
  }

  /** Reads which entries are announced and up. */
  update(nowMs: number): void {
    const members = this.#roster
      .listMembers()
      .filter(({record}) => canGrant(record));
    const up = members.filter(({isUp}) => isUp).map(({record}) => record);
    this.#records.clear();
    up.forEach(record => this.#records.set(record.name, record));
    for (const {record} of members) {
      if (record.region !== this.region) {
        this.#seenAtMs.set(record.region, nowMs);
      }
    }
    for (const [region, seenAtMs] of this.#seenAtMs) {
      if (nowMs - seenAtMs > REGION_MEMORY_MS) {
        this.#seenAtMs.delete(region);
      }
    }
    for (const region of [this.region, ...this.#seenAtMs.keys()]) {
      const names = up
        .filter(record => record.region === region)
        .map(({name}) => name)
        .sort();
      this.#choiceOf(region).applyEntries(names);
    }
    const isOwn = ({region}: EntryRecord) => region === this.region;
    this.#part = grantingPart(
      up.filter(isOwn).length,
      members.filter(({record}) => isOwn(record)).length,
    );
  }

  /** The entries of this region that are asked for an account, best first. */
  choose(account: string): readonly string[] {
    return this.#choiceOf(this.region).choose(account);
  }

  /** The entry of another region that grants for an account; undefined if none is up. */
  findGranting(region: string, account: string): string | undefined {
    return this.#choiceOf(region).choose(account).at(0);
  }

  /** Addresses of the entries that are up. */
  get addresses(): readonly string[] {
    return [...this.#records.values()].flatMap(
      ({feedAddress}) => feedAddress ?? [],
    );
  }

  /** Address at which an entry takes messages. */
  addressOf(name: string): string | undefined {
    return this.#records.get(name)?.feedAddress;
  }

  #choiceOf(region: string): GrantingEntryChoice {
    const choice = this.#choices.get(region) ?? new GrantingEntryChoice();
    this.#choices.set(region, choice);
    return choice;
  }
}

/** Whether an entry grants, and can be asked. */
function canGrant({grantsQuotas, feedAddress}: EntryRecord): boolean {
  return grantsQuotas === true && feedAddress !== undefined;
}
