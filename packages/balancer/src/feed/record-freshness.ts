/**
 * Knows up to which revision this entry has read, and when the store last
 * confirmed that no later record is missing. A source counts by the revision
 * that it has seen, not by the time at which it answered.
 */

import {
  isBefore,
  UNNAMED_ERA,
  type StorePosition,
} from '../store/store-eras.js';

/** Tracks the revision of the records and their age. */
export class RecordFreshness {
  #revision = 0;
  /** Highest revision of the records that were polled, between which others may be missing. */
  #polledRevision = 0;
  #era = UNNAMED_ERA;
  #confirmedAtMs = -Infinity;
  #askedAtMs = -Infinity;

  /** Store revision up to which all records were read; 0 before the first read. */
  get revision(): number {
    return this.#revision;
  }

  /** Time since the store confirmed that no record is missing, in milliseconds. */
  ageMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }

  /** When the call was sent whose answer confirmed it last, on the monotonic clock in milliseconds. */
  get askedAtMs(): number {
    return this.#askedAtMs;
  }

  /** Whether a source that answers with this position knows less than this entry. */
  isBehind(position: StorePosition): boolean {
    return isBefore(position, {era: this.#era, revision: this.#revision});
  }

  /** Whether a complete read at this position would take back what this entry knows, also from polls. */
  wouldTakeBack(position: StorePosition): boolean {
    const revision = Math.max(this.#revision, this.#polledRevision);
    return isBefore(position, {era: this.#era, revision});
  }

  /** Records the revisions of records that were polled. */
  onPolled(revisions: readonly number[]): void {
    this.#polledRevision = Math.max(this.#polledRevision, ...revisions);
  }

  /** Records a complete read, which replaces what was known. @param askedAtMs When it was asked for, on the monotonic clock in milliseconds. */
  onCompleteRead(
    {era, revision}: StorePosition,
    confirmedAtMs: number,
    askedAtMs: number,
  ): void {
    if (era !== this.#era) {
      this.#era = era;
      this.#confirmedAtMs = -Infinity;
    }
    this.#revision = revision;
    this.#polledRevision = 0;
    this.#confirm(confirmedAtMs, askedAtMs);
  }

  /** Records changes up to a position. @param askedAtMs When they were asked for, on the monotonic clock in milliseconds. */
  onChanges(
    {era, revision}: StorePosition,
    confirmedAtMs: number,
    askedAtMs: number,
  ): void {
    if (era === this.#era) {
      this.#revision = Math.max(this.#revision, revision);
      this.#confirm(confirmedAtMs, askedAtMs);
    }
  }

  #confirm(atMs: number, askedAtMs: number): void {
    if (atMs >= this.#confirmedAtMs) {
      this.#confirmedAtMs = atMs;
      this.#askedAtMs = atMs === -Infinity ? -Infinity : askedAtMs;
    }
  }
}
