/** How entries divide the requests per second that an upstream takes from all of them. */

import type {EntryLists} from './entry-lists.js';
import {rendezvousHash} from './rendezvous-hash.js';

/** One of the ways to divide a limit. */
export abstract class LimitDivision {
  /** Burst that a chosen entry may send, in milliseconds at its rate; at least one request. */
  abstract readonly burstMs: number;

  /** Whether entries that are not chosen send a request now and then to find out whether the limit still holds. */
  abstract readonly hasTrials: boolean;

  /**
   * The requests per second that this entry may send; 0 if it isn't chosen.
   * @param limit Requests per second from all entries together.
   */
  abstract ownPerSecond(
    limit: number,
    entries: EntryLists,
    nowMs: number,
  ): number;
}

/**
 * The entries with the smallest hashes with the upstream; all of them if there
 * are no more than `count`.
 * @param hashOf Hash of an entry's name with the upstream's.
 */
export function chooseEntries(
  names: readonly string[],
  upstream: string,
  count: number,
  hashOf = (name: string) => rendezvousHash(name, upstream),
): readonly string[] {
  if (count >= names.length) {
    return names;
  }
  return names
    .map(name => ({name, hash: hashOf(name)}))
    .sort((left, right) => left.hash - right.hash)
    .slice(0, count)
    .map(({name}) => name);
}
