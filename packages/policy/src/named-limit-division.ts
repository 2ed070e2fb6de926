/** Division of a limit that the upstream names, and whose end is not known. */

import type {EntryLists} from './entry-lists.js';
import {chooseEntries, LimitDivision} from './limit-division.js';

/** Share of a limit that the chosen entries divide; the rest is for the requests that find out whether it still holds. */
export const NAMED_LIMIT_SHARE = 0.8;

/** Options of `NamedLimitDivision`. */
export interface NamedLimitDivisionOptions {
  readonly upstream: string;
  /** This entry. */
  readonly entry: string;
}

/** Divides among as many entries as get at least about one request per second each, wherever they are. */
export class NamedLimitDivision extends LimitDivision {
  override readonly burstMs = 500;
  override readonly hasTrials = true;
  readonly #options: NamedLimitDivisionOptions;

  constructor(options: NamedLimitDivisionOptions) {
    super();
    this.#options = options;
  }

  override ownPerSecond(limit: number, entries: EntryLists): number {
    const {entry, upstream} = this.#options;
    const listed = entries.current.map(({name}) => name);
    const names = listed.includes(entry) ? listed : [...listed, entry];
    const count = Math.max(1, Math.floor(limit));
    const chosen = chooseEntries(names, upstream, count);
    return chosen.includes(entry)
      ? (limit * NAMED_LIMIT_SHARE) / chosen.length
      : 0;
  }
}
