/** What one entry believes of one record. */

import {
  RecordHistory,
  type RecordChanges,
  type StoreWatcherListener,
} from '@wasabidyke/balancer';

/** Keeps the last value of a record, and the history for followers. */
export class Believer implements StoreWatcherListener {
  readonly history = new RecordHistory();
  value: string | undefined;
  /** Complete reads that were applied. */
  completeReads = 0;
  readonly #key: string;

  constructor(key: string) {
    this.#key = key;
  }

  onRead(read: RecordChanges, isWhole: boolean): void {
    this.history.apply(read, isWhole);
    this.completeReads += Number(isWhole);
    const change = read.changes.findLast(({key}) => key === this.#key);
    this.value = change?.value?.toString('utf8') ?? this.value;
  }

  onChange(): void {}
  onCompleteRead(): void {}
  onEra(): void {}
  onLost(): void {}
  onRegained(): void {}
}
