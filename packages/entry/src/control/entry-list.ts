/** The list of entries that a caller is given: best first for where the caller is. */

import type {RandomSource} from '@wasabidyke/policy';
import {formatHomeToken} from '../once/home-token.js';
import type {EntryMember, MemberDirectory} from './member-directory.js';

/** One entry as a caller is told of it. */
export interface ListedEntry {
  readonly name: string;
  readonly address: string;
  readonly region: string;
  readonly zone: string;
  /** Begins the idempotency keys of requests whose home is this entry. */
  readonly home: string;
}

/** Where a caller says it is. */
export interface CallerLocation {
  readonly region: string | undefined;
  readonly zone: string | undefined;
}

/** Entries named at most, so that an answer stays small. */
const MAXIMUM_LISTED = 32;

/** Steps into which the random order among equals is divided. */
const RANDOM_STEPS = 1_000;

interface Ranked {
  readonly member: EntryMember;
  readonly distance: number;
  readonly load: number;
}

/** Creates the list for callers. */
export class EntryList {
  readonly #directory: MemberDirectory;
  readonly #random: RandomSource;

  constructor(directory: MemberDirectory, random: RandomSource) {
    this.#directory = directory;
    this.#random = random;
  }

  /** The entries to use, best first. None that is being stopped is named. */
  list(location: CallerLocation): readonly ListedEntry[] {
    const serving = this.#directory
      .members()
      .filter(member => member.state === 'serving');
    return serving
      .map(member => this.#rank(member, location))
      .sort(compareRanked)
      .slice(0, MAXIMUM_LISTED)
      .map(({member}) => toListed(member));
  }

  /** Load is blurred, so that callers that ask at the same time spread out. */
  #rank(member: EntryMember, location: CallerLocation): Ranked {
    const blur = 0.5 + this.#random.nextBelow(RANDOM_STEPS) / RANDOM_STEPS;
    const load = (member.load + 1) * blur;
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
  const isElsewhere =
    location.zone !== undefined && member.zone !== location.zone;
  return isElsewhere ? 1 : 0;
}

function compareRanked(left: Ranked, right: Ranked): number {
  const distances = left.distance - right.distance;
  return distances === 0 ? left.load - right.load : distances;
}

function toListed(member: EntryMember): ListedEntry {
  const {entry, incarnation, issue, region, zone, callerAddress} = member;
  const home = formatHomeToken({entry, incarnation, issue});
  return {name: entry, address: callerAddress, region, zone, home};
}
