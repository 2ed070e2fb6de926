/** The records that this entry has read and their latest changes, for the entries that follow it. */

import type {RecordChange, RecordChanges} from '../store/record-store.js';

/** Changes that are kept; a follower that missed more reads everything. */
const KEPT_CHANGES = 512;

/** The records and their latest changes. */
export class RecordHistory {
  readonly #records = new Map<string, RecordChange>();
  readonly #waiting = new Set<() => void>();
  #changes: RecordChange[] = [];
  /** Changes up to this revision may be missing from `#changes`. */
  #keptAfter = 0;
  #revision = 0;

  /** The store's revision up to which everything is known; 0 before the first read. */
  get revision(): number {
    return this.#revision;
  }

  /** Takes over what was read from the store. */
  apply(read: RecordChanges, isWhole: boolean): void {
    if (isWhole) {
      this.#records.clear();
      this.#changes = [];
      this.#keptAfter = read.revision;
    }
    for (const change of read.changes) {
      this.#keep(change);
      if (!isWhole) {
        this.#changes.push(change);
      }
    }
    const surplus = this.#changes.splice(
      0,
      this.#changes.length - KEPT_CHANGES,
    );
    this.#keptAfter = Math.max(
      this.#keptAfter,
      ...surplus.map(({revision}) => revision),
    );
    this.#revision = Math.max(this.#revision, read.revision);
    this.wake();
  }

  /** Has all who wait look again: something changed, or nothing that is known can be relied on any more. */
  wake(): void {
    for (const end of [...this.#waiting]) {
      end();
    }
  }

  /** Everything that is known. */
  readAll(): RecordChanges {
    return {changes: [...this.#records.values()], revision: this.#revision};
  }

  /** Changes after a revision; undefined when some of them are no longer kept. */
  readAfter(revision: number): RecordChanges | undefined {
    if (revision < this.#keptAfter) {
      return undefined;
    }
    const changes = this.#changes.filter(change => change.revision > revision);
    return {changes, revision: this.#revision};
  }

  /** Resolves when there is something after a revision, when `waitMs` has passed, or with `wake`. */
  async waitAfter(revision: number, waitMs: number): Promise<void> {
    if (this.#revision > revision) {
      return;
    }
    await new Promise<void>(resolve => {
      const end = () => {
        clearTimeout(timer);
        this.#waiting.delete(end);
        resolve();
      };
      const timer = setTimeout(end, waitMs);
      this.#waiting.add(end);
    });
  }

  #keep(change: RecordChange): void {
    if (change.value === undefined) {
      this.#records.delete(change.key);
    } else {
      this.#records.set(change.key, change);
    }
  }
}
