/** The entries that are up, as this entry sees them now and saw them a short time ago. */

/** An entry that is up. */
export interface ListedEntry {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** False only for this entry itself, as long as it has not read its own announcement. */
  readonly isAnnounced: boolean;
}

/** A list of entries, sorted by name. */
export type EntryList = readonly ListedEntry[];

/**
 * Time for which a replaced list still counts, in milliseconds. Source:
 * entries learn of one that joins or is down within about a second by watches
 * and statements, and apply it within a tick of 250 ms.
 */
export const LIST_SETTLING_MS = 2_000;

interface FormerList {
  readonly list: EntryList;
  readonly replacedAtMs: number;
}

/** Holds the lists of entries that were in force within the settling time. */
export class EntryLists {
  #current: EntryList = [];
  #former: readonly FormerList[] = [];
  #version = 0;
  #currentVersion = 0;

  /** The entries that are up, this one included. */
  get current(): EntryList {
    return this.#current;
  }

  /** Replaces the list, unless it is the same. */
  apply(list: EntryList, nowMs: number): void {
    // Prunes here as well: without warm-ups nothing else reads the former lists.
    this.recentVersion(nowMs);
    if (isSameList(list, this.#current)) {
      return;
    }
    this.#former = [
      ...this.#former,
      {list: this.#current, replacedAtMs: nowMs},
    ];
    this.#current = list;
    this.#version += 1;
    this.#currentVersion += 1;
  }

  /** Changes whenever `current` does. */
  get currentVersion(): number {
    return this.#currentVersion;
  }

  /** Changes whenever `recent` does. */
  recentVersion(nowMs: number): number {
    const count = this.#former.length;
    if (count > 0) {
      this.#former = this.#former.filter(
        ({replacedAtMs}) => nowMs - replacedAtMs < LIST_SETTLING_MS,
      );
      this.#version += Number(this.#former.length !== count);
    }
    return this.#version;
  }

  /** The lists that were in force within the settling time, the current one included. */
  recent(nowMs: number): readonly EntryList[] {
    this.recentVersion(nowMs);
    return [...this.#former.map(({list}) => list), this.#current];
  }
}

/** Compares without building a text of either: the list is applied four times a second. */
function isSameList(left: EntryList, right: EntryList): boolean {
  return (
    left === right ||
    (left.length === right.length &&
      left.every((entry, index) => isSameEntry(entry, right[index])))
  );
}

function isSameEntry(left: ListedEntry, right: ListedEntry): boolean {
  return (
    left.name === right.name &&
    left.zone === right.zone &&
    left.region === right.region &&
    left.isAnnounced === right.isAnnounced
  );
}
