/**
 * Guards upstreams against a request that crashes each one that runs it.
 *
 * A request under way at an upstream whose connection broke is a suspect. A
 * suspect is run by one upstream at a time; once a second upstream breaks it
 * is quarantined. One whole answer to the same request anywhere clears it,
 * so requests that only happened to be there are cleared by their next run.
 */

/** What is known of a request. */
export type CrashStanding = 'clear' | 'suspect' | 'quarantined';

/** One entry's record of a suspect; records of all entries add up. */
export interface SuspectRecord {
  /** Identifies requests that do the same. */
  readonly fingerprint: string;
  /** Upstreams that broke while running it, by address. */
  readonly upstreams: readonly string[];
}

/** Breaks of different upstreams after which a request is quarantined. */
const QUARANTINE_LIMIT = 2;

/** How long a suspect and a quarantine are remembered, in milliseconds. */
const MEMORY_MS = 600_000;

/** Suspects remembered at most; the oldest is forgotten first. */
const MAXIMUM_SUSPECTS = 4_096;

interface Suspect {
  readonly upstreams: Set<string>;
  readonly lapsesAtMs: number;
}

/** Remembers which requests broke which upstreams. */
export class CrashGuard {
  readonly #suspects = new Map<string, Suspect>();

  /** Suspects remembered now. */
  get size(): number {
    return this.#suspects.size;
  }

  /** The standing of a request. */
  standing(fingerprint: string, nowMs: number): CrashStanding {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) {
      return 'clear';
    }
    if (suspect.lapsesAtMs <= nowMs) {
      this.#suspects.delete(fingerprint);
      return 'clear';
    }
    const isOver = suspect.upstreams.size >= QUARANTINE_LIMIT;
    return isOver ? 'quarantined' : 'suspect';
  }

  /** An upstream broke while it ran the request. Returns what to tell other entries. */
  onBreak(fingerprint: string, upstream: string, nowMs: number): SuspectRecord {
    return this.onRecord({fingerprint, upstreams: [upstream]}, nowMs);
  }

  /** Another entry told of a suspect. Returns what is known now. */
  onRecord(record: SuspectRecord, nowMs: number): SuspectRecord {
    const known = this.#suspects.get(record.fingerprint)?.upstreams ?? [];
    const upstreams = new Set([...known, ...record.upstreams]);
    this.#suspects.delete(record.fingerprint);
    this.#suspects.set(record.fingerprint, {
      upstreams,
      lapsesAtMs: nowMs + MEMORY_MS,
    });
    this.#forgetOldest();
    return {fingerprint: record.fingerprint, upstreams: [...upstreams]};
  }

  /** The request was answered whole. Returns whether that cleared a suspect. */
  onAnswer(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || suspect.upstreams.size >= QUARANTINE_LIMIT) {
      return false;
    }
    return this.#suspects.delete(fingerprint);
  }

  #forgetOldest(): void {
    if (this.#suspects.size > MAXIMUM_SUSPECTS) {
      const [oldest] = this.#suspects.keys();
      this.#suspects.delete(oldest);
    }
  }
}
