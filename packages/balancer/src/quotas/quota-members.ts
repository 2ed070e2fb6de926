/** The entries that grant requests, as this entry knows them. */

import {
  GrantingEntryChoice,
  GrantingRight,
  type GrantingScope,
} from '@wasabidyke/policy';
import type {Moment} from '@wasabidyke/shared';
import type {EntryRecord} from '../members/entry-record.js';
import type {EntryRoster} from '../members/entry-roster.js';

/** Time for which a region counts although none of its entries is announced any more, in milliseconds. Source: by then, entries that reach neither the store nor another region have stopped granting. */
const REGION_MEMORY_MS = 30_000;

/** Time for which an entry can be asked to hand over that is no longer up, in milliseconds: a planned stop. */
const ADDRESS_MEMORY_MS = 8_000;

/** Where an entry takes messages, and when it was last known to be up. */
interface KnownAddress {
  readonly address: string;
  readonly seenAtMs: number;
}

/** Entries by region, and for which accounts this entry has the right to grant. */
export class QuotaMembers {
  readonly right: GrantingRight;
  readonly #roster: EntryRoster;
  readonly #own: EntryRecord;
  readonly #now: () => Moment;
  readonly #choices = new Map<string, GrantingEntryChoice>();
  readonly #known = new Map<string, KnownAddress>();
  /** Sequences of entries that don't know queries for quotas, by name. */
  readonly #rejecting = new Map<string, number | undefined>();
  /** When each other region last had an announced entry. */
  readonly #seenAtMs = new Map<string, number>();

  constructor(roster: EntryRoster, own: EntryRecord, now: () => Moment) {
    this.#roster = roster;
    this.#own = own;
    this.#now = now;
    this.right = new GrantingRight(own.name);
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
    return {
      otherRegions: [...this.#seenAtMs.keys()],
      part: this.right.part(this.#now()),
    };
  }

  /** Records that an entry doesn't know queries for quotas; its next process may. */
  onRejected(name: string): void {
    const found = this.#roster
      .listMembers()
      .find(({record}) => record.name === name);
    this.#rejecting.set(name, found?.record.sequence);
  }

  /** Number of announced entries. */
  get size(): number {
    return this.#roster.size;
  }

  /** Reads which entries are announced and up. */
  update(): void {
    const now = this.#now();
    const nowMs = now.steadyMs;
    const members = this.#roster
      .listMembers()
      .filter(({record}) => this.#canGrant(record))
      .map(({record, isUp}) =>
        // What others don't know can't grant for them; a stopping entry grants until it is relieved.
        record.name === this.self
          ? {record, isUp: this.#roster.isSelfAnnounced}
          : {record, isUp},
      );
    const up = members.filter(({isUp}) => isUp).map(({record}) => record);
    this.#rememberAddresses(up, nowMs);
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
    for (const region of this.#seenAtMs.keys()) {
      this.#choiceOf(region).applyEntries(toNames(up, region).sort());
    }
    const announced = members.map(({record}) => record);
    this.right.applyEntries(
      toNames(up, this.region),
      toNames(announced, this.region),
      now,
    );
  }

  /** The entries of this region that are asked for an account, best first. */
  choose(account: string): readonly string[] {
    return this.right.choose(account);
  }

  /** The entry of another region that grants for an account; undefined if none is up. */
  findGranting(region: string, account: string): string | undefined {
    const choice = region === this.region ? this.right : this.#choiceOf(region);
    return choice.choose(account).at(0);
  }

  /** Addresses of the entries that may be asked. */
  get addresses(): readonly string[] {
    return [...this.#known.values()].map(({address}) => address);
  }

  /** Address at which an entry takes messages. */
  addressOf(name: string): string | undefined {
    return this.#known.get(name)?.address;
  }

  /** Whether an entry grants, and can be asked. */
  #canGrant({name, grantsQuotas, feedAddress, sequence}: EntryRecord): boolean {
    const isRejecting =
      this.#rejecting.has(name) && this.#rejecting.get(name) === sequence;
    return grantsQuotas === true && feedAddress !== undefined && !isRejecting;
  }

  #rememberAddresses(up: readonly EntryRecord[], nowMs: number): void {
    for (const {name, feedAddress} of up) {
      if (feedAddress !== undefined) {
        this.#known.set(name, {address: feedAddress, seenAtMs: nowMs});
      }
    }
    for (const [name, {seenAtMs}] of this.#known) {
      if (nowMs - seenAtMs > ADDRESS_MEMORY_MS) {
        this.#known.delete(name);
      }
    }
  }

  #choiceOf(region: string): GrantingEntryChoice {
    const choice = this.#choices.get(region) ?? new GrantingEntryChoice();
    this.#choices.set(region, choice);
    return choice;
  }
}

function toNames(records: readonly EntryRecord[], region: string): string[] {
  return records
    .filter(record => record.region === region)
    .map(({name}) => name);
}
