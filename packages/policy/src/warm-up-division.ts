/**
 * Division of the rate of an upstream in warm-up. The sum over all entries must
 * not exceed 1.5 times the rate and 8 requests in any one second, even if the
 * entries have split into two sides that take each other for down. Each side
 * then sends at most half of that: 0.6 of the rate by the rates of its chosen
 * entries, and 0.15 of the rate and 4 requests by their bursts.
 */

import type {EntryList, EntryLists} from './entry-lists.js';
import {chooseEntries, LimitDivision} from './limit-division.js';
import {rendezvousHash} from './rendezvous-hash.js';

/** Share of the rate that the chosen entries divide. */
const WARM_UP_SHARE = 0.6;

/** Chosen entries at the lowest rates: half of the 8 requests that the platform allows beyond 1.5 times the rate, one for each burst. */
const MINIMUM_CHOSEN = 4;

/** Further chosen entries per request a second of the rate. Source: 1.5 / 2 - 0.6. */
const CHOSEN_PER_RATE = 0.15;

/** Results that are held: for the configured rate, and for the smaller limit that the upstream names. */
const MAXIMUM_RESULTS = 2;

/** Options of `WarmUpDivision`. */
export interface WarmUpDivisionOptions {
  readonly upstream: string;
  /** Availability zone and region of the upstream. */
  readonly zone: string;
  readonly region: string | undefined;
  /** This entry. */
  readonly entry: string;
}

/**
 * Divides among entries of the upstream's availability zone, or of its region
 * if there are none, or else of all regions. An entry sends by the least that
 * its lists of the last two seconds give it, so that entries that take a share
 * over do so after the others have given it up.
 */
export class WarmUpDivision extends LimitDivision {
  /** Short: at high rates the bursts are then 5% of the rates. */
  override readonly burstMs = 50;
  override readonly hasTrials = false;
  readonly #options: WarmUpDivisionOptions;
  /** Results by limit for one version of the lists: they are asked for with each request, and change seldom. */
  readonly #results = new Map<number, number>();
  #version = -1;

  constructor(options: WarmUpDivisionOptions) {
    super();
    this.#options = options;
  }

  override ownPerSecond(
    limit: number,
    entries: EntryLists,
    nowMs: number,
  ): number {
    const version = entries.recentVersion(nowMs);
    const isFull = this.#results.size >= MAXIMUM_RESULTS;
    if (version !== this.#version || (isFull && !this.#results.has(limit))) {
      this.#results.clear();
      this.#version = version;
    }
    const known = this.#results.get(limit);
    if (known !== undefined) {
      return known;
    }
    const hashes = new Map<string, number>();
    const shares = entries
      .recent(nowMs)
      .map(list => this.#ownPerSecondOf(limit, list, hashes));
    const ownPerSecond = Math.min(...shares);
    this.#results.set(limit, ownPerSecond);
    return ownPerSecond;
  }

  /** @param hashes Those of the entries that earlier lists have as well. */
  #ownPerSecondOf(
    limit: number,
    list: EntryList,
    hashes: Map<string, number>,
  ): number {
    const {entry, upstream} = this.#options;
    const names = this.#group(list)
      .filter(({isAnnounced}) => isAnnounced)
      .map(({name}) => name);
    if (!names.includes(entry)) {
      return 0;
    }
    const count = MINIMUM_CHOSEN + Math.floor(limit * CHOSEN_PER_RATE);
    const hashOf = (name: string) => {
      const hash = hashes.get(name) ?? rendezvousHash(name, upstream);
      hashes.set(name, hash);
      return hash;
    };
    const chosen = chooseEntries(names, upstream, count, hashOf);
    return chosen.includes(entry) ? (limit * WARM_UP_SHARE) / chosen.length : 0;
  }

  /** The entries nearest to the upstream. */
  #group(list: EntryList): EntryList {
    const {zone, region} = this.#options;
    const inZone = list.filter(entry => entry.zone === zone);
    if (inZone.length > 0) {
      return inZone;
    }
    const inRegion = list.filter(entry => entry.region === region);
    return inRegion.length > 0 ? inRegion : list;
  }
}
