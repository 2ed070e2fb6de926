/**
 * Knows up to which revision this entry has read, and when the store last
 * confirmed that no later record is missing. A source counts by the revision
 * that it has seen, not by the time at which it answered.
 */

/** Tracks the revision of the records and their age. */
export class RecordFreshness {
  #revision = 0;
  #confirmedAtMs = -Infinity;

  /** Store revision up to which all records were read; 0 before the first read. */
  get revision(): number {
    return this.#revision;
  }

  /** Time since the store confirmed that no record is missing, in milliseconds. */
  ageMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }

  /** Whether a source that answers with this revision knows less than this entry. */
  isBehind(revision: number): boolean {
    return revision < this.#revision;
  }

  /** Records a complete read, which replaces what was known. */
  onCompleteRead(revision: number, confirmedAtMs: number): void {
    this.#revision = revision;
    this.#confirm(confirmedAtMs);
  }

  /** Records changes up to a revision. */
  onChanges(revision: number, confirmedAtMs: number): void {
    this.#revision = Math.max(this.#revision, revision);
    this.#confirm(confirmedAtMs);
  }

  /** Records an answer of the store to a read of its revision. */
  onAnswer(atMs: number): void {
    this.#confirm(atMs);
  }

  #confirm(atMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
  }
}
