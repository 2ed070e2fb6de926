/** Chooses the entries that grant requests of an account. */

import {rendezvousHash} from './rendezvous-hash.js';

/** Entries that are chosen for one account, best first: the first grants, the second is asked in its place, and the others may have granted while both were down. */
const CHOSEN_ENTRIES = 4;

/** Remembered choices: more than there are accounts in use at one entry. */
const MAXIMUM_REMEMBERED = 20_000;

/** Chooses by a hash of the account and the entry, so that entries that know the same others choose alike. */
export class GrantingEntryChoice {
  #entries: readonly string[] = [];
  readonly #chosen = new Map<string, readonly string[]>();

  /** Sets the entries that may be chosen. */
  applyEntries(entries: readonly string[]): void {
    if (entries.join('\n') !== this.#entries.join('\n')) {
      this.#entries = entries;
      this.#chosen.clear();
    }
  }

  /** Returns the entry that grants for an account, the one that is asked if it doesn't answer, and the next ones. */
  choose(account: string): readonly string[] {
    const known = this.#chosen.get(account);
    if (known !== undefined) {
      return known;
    }
    const chosen = this.#entries
      .map(name => ({name, hash: rendezvousHash(name, account)}))
      .sort((left, right) => left.hash - right.hash)
      .slice(0, CHOSEN_ENTRIES)
      .map(({name}) => name);
    if (this.#chosen.size >= MAXIMUM_REMEMBERED) {
      this.#chosen.clear();
    }
    this.#chosen.set(account, chosen);
    return chosen;
  }
}

/** Smallest part of the entries of a region that may grant all of its share, as numerator and denominator. Source: one of three availability zones may be lost. */
const MAJORITY_PARTS = 2;
const PARTS = 3;

/**
 * Returns the part of a region's share that may be granted by entries that see
 * `up` of the `announced` entries of their region. Two groups that can't see
 * each other never grant more than the share between them: two similar ones
 * grant in proportion to their sizes, else only the larger one grants.
 */
export function grantingPart(up: number, announced: number): number {
  if (up * PARTS >= announced * MAJORITY_PARTS) {
    return 1;
  }
  const isSmall = up * PARTS <= announced * (PARTS - MAJORITY_PARTS);
  return isSmall ? 0 : up / announced;
}
