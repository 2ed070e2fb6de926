/** Records that this entry has read and their latest changes, for its followers. */

import {
  withoutReplaced,
  type RecordChange,
  type RecordChanges,
} from '../store/record-store.js';
import {UNNAMED_ERA, type StorePosition} from '../store/store-eras.js';

/** Maximum number of changes kept. A follower that missed more reads all records. */
const MAXIMUM_CHANGES = 512;

/** Stores the current records and their latest changes. */
export class RecordHistory {
  readonly #records = new Map<string, RecordChange>();
  readonly #wakeCallbacks = new Set<() => void>();
  #changes: RecordChange[] = [];
  /** Changes up to this revision may be missing from `#changes`. */
  #completeAfterRevision = 0;
  #revision = 0;
  #era = UNNAMED_ERA;

  /** Era of the store in which the records were read. */
  get era(): number {
    return this.#era;
  }

  /** Store revision up to which all changes were read; 0 before the first read. */
  get revision(): number {
    return this.#revision;
  }

  /** Applies a read from the store. @param isComplete Whether it holds all records rather than changes. */
  apply(read: RecordChanges, isComplete: boolean): void {
    if (isComplete) {
      this.#records.clear();
      this.#changes = [];
      this.#completeAfterRevision = read.revision;
      this.#revision = read.revision;
      this.#era = read.era;
    }
    read.changes.forEach(change => this.#applyChange(change));
    if (!isComplete) {
      this.#remember(read.changes);
    }
    this.#revision = Math.max(this.#revision, read.revision);
    this.wakeWaiting();
  }

  /** Keeps the latest changes, of each record only those that none replaces. */
  #remember(changes: readonly RecordChange[]): void {
    const kept = [...withoutReplaced([...this.#changes, ...changes])];
    const surplus = kept.splice(0, kept.length - MAXIMUM_CHANGES);
    this.#changes = kept;
    this.#completeAfterRevision = Math.max(
      this.#completeAfterRevision,
      ...surplus.map(({revision}) => revision),
    );
  }

  /** The value of the record under a key; undefined if there is none. */
  read(key: string): Buffer | undefined {
    return this.#records.get(key)?.value;
  }

  /** Wakes all pending `waitForChange` calls: records changed, or they can no longer be relied on. */
  wakeWaiting(): void {
    for (const wake of [...this.#wakeCallbacks]) {
      wake();
    }
  }

  /** All current records. */
  readAll(): RecordChanges {
    return {changes: [...this.#records.values()], ...this.#position};
  }

  /**
   * Changes after a position, or undefined when some are no longer kept. There
   * are none after a position of another era, as the answer's position tells.
   */
  readChangesAfter({era, revision}: StorePosition): RecordChanges | undefined {
    if (era !== this.#era) {
      return {changes: [], ...this.#position};
    }
    if (revision < this.#completeAfterRevision) {
      return undefined;
    }
    const changes = this.#changes.filter(change => change.revision > revision);
    return {changes, ...this.#position};
  }

  get #position(): StorePosition {
    return {era: this.#era, revision: this.#revision};
  }

  /** Resolves when there are changes after a position, after `waitMs` milliseconds, or on `wakeWaiting`. */
  async waitForChange(after: StorePosition, waitMs: number): Promise<void> {
    const isPassed =
      this.#era === after.era
        ? this.#revision > after.revision
        : this.#era > after.era;
    if (isPassed) {
      return;
    }
    await new Promise<void>(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.#wakeCallbacks.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.#wakeCallbacks.add(wake);
    });
  }

  /** A read that may be old can follow a newer one while an entry starts. */
  #applyChange(change: RecordChange): void {
    const known = this.#records.get(change.key);
    if (known !== undefined && known.revision > change.revision) {
      return;
    }
    if (change.value === undefined) {
      this.#records.delete(change.key);
    } else {
      this.#records.set(change.key, change);
    }
  }
}
