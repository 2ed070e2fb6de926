/** The list of entries that is sent to a caller, ordered by distance from the caller, then by load. */

import type {RandomSource} from '@wasabidyke/policy';
import {formatHomeToken} from '../at-most-once/home-token.js';
import type {EntryMember, MemberDirectory} from './member-directory.js';

/** One entry in the list for callers. */
export interface ListedEntry {
  readonly name: string;
  readonly address: string;
  readonly region: string;
  readonly zone: string;
  /** Home token of the entry: the prefix of idempotency keys of requests that only this entry runs. */
  readonly home: string;
}

/** Location that a caller states; undefined where it states none. */
export interface CallerLocation {
  readonly region: string | undefined;
  readonly zone: string | undefined;
}

/** Maximum number of entries in a list, so that an answer stays small. */
const MAXIMUM_ENTRIES = 32;

/** Number of possible values of the random factor that load is multiplied by. */
const JITTER_STEPS = 1_000;

interface RankedEntry {
  readonly member: EntryMember;
  readonly distance: number;
  readonly load: number;
}

/** Creates the list of entries for a caller. */
export class EntryList {
  readonly #directory: MemberDirectory;
  readonly #random: RandomSource;

  constructor(directory: MemberDirectory, random: RandomSource) {
    this.#directory = directory;
    this.#random = random;
  }

  /** Serving entries, best first. Entries that are stopping are left out. */
  list(location: CallerLocation): readonly ListedEntry[] {
    const serving = this.#directory
      .members()
      .filter(member => member.state === 'serving');
    return serving
      .map(member => this.#rank(member, location))
      .sort(compareRanked)
      .slice(0, MAXIMUM_ENTRIES)
      .map(({member}) => toListed(member));
  }

  /** Load gets a random factor, so that callers that ask at the same time are spread over entries. */
  #rank(member: EntryMember, location: CallerLocation): RankedEntry {
    const jitter = 0.5 + this.#random.nextBelow(JITTER_STEPS) / JITTER_STEPS;
    const load = (member.load + 1) * jitter;
    return {member, distance: toDistance(member, location), load};
  }
}

function toDistance(member: EntryMember, location: CallerLocation): number {
  if (location.region === undefined) {
    return 0;
  }
  if (member.region !== location.region) {
    return 2;
  }
  const isOtherZone =
    location.zone !== undefined && member.zone !== location.zone;
  return isOtherZone ? 1 : 0;
}

function compareRanked(left: RankedEntry, right: RankedEntry): number {
  const distances = left.distance - right.distance;
  return distances === 0 ? left.load - right.load : distances;
}

function toListed(member: EntryMember): ListedEntry {
  const {entry, incarnation, issue, region, zone, callerAddress} = member;
  const home = formatHomeToken({entry, incarnation, issue});
  return {name: entry, address: callerAddress, region, zone, home};
}
