/**
 * Protects upstreams from a request that crashes each one that runs it.
 *
 * A request in flight at an upstream whose connection broke becomes a suspect.
 * A suspect is run by one upstream at a time and is quarantined once a second
 * upstream breaks. One complete answer to the same request from any upstream
 * clears it, so a request that was in flight only by chance is cleared by its
 * next run.
 */

/** Whether a request may crash upstreams. */
export type CrashStatus = 'clear' | 'suspect' | 'quarantined';

/** A suspect as entries exchange it; records of several entries are merged. */
export interface SuspectRecord {
  /** Equal for requests that do the same. */
  readonly fingerprint: string;
  /** Addresses of upstreams whose connection broke while they ran it. */
  readonly upstreams: readonly string[];
}

/** Number of different upstreams that must have broken before a request is quarantined. */
const QUARANTINE_CRASHES = 2;

/** Time after its last record at which a suspect or a quarantine expires, in milliseconds. */
const SUSPECT_LIFETIME_MS = 600_000;

/** Maximum number of suspects; the one with the oldest record is removed first. */
const MAXIMUM_SUSPECTS = 4_096;

interface Suspect {
  readonly upstreams: Set<string>;
  readonly expiresAtMs: number;
}

/** Tracks the requests during which upstreams broke. */
export class CrashGuard {
  readonly #suspects = new Map<string, Suspect>();

  /** Number of suspects, including expired ones that are not yet removed. */
  get size(): number {
    return this.#suspects.size;
  }

  /** Returns whether the request is clear, a suspect or quarantined. */
  statusOf(fingerprint: string, nowMs: number): CrashStatus {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) {
      return 'clear';
    }
    if (suspect.expiresAtMs <= nowMs) {
      this.#suspects.delete(fingerprint);
      return 'clear';
    }
    const isQuarantined = suspect.upstreams.size >= QUARANTINE_CRASHES;
    return isQuarantined ? 'quarantined' : 'suspect';
  }

  /** Called when an upstream's connection broke while it ran the request. Returns the record to send to other entries. */
  onBreak(fingerprint: string, upstream: string, nowMs: number): SuspectRecord {
    return this.onRecord({fingerprint, upstreams: [upstream]}, nowMs);
  }

  /** Called when another entry has sent a suspect. Returns the merged record. */
  onRecord(record: SuspectRecord, nowMs: number): SuspectRecord {
    const known = this.#suspects.get(record.fingerprint)?.upstreams ?? [];
    const upstreams = new Set([...known, ...record.upstreams]);
    this.#suspects.delete(record.fingerprint);
    this.#suspects.set(record.fingerprint, {
      upstreams,
      expiresAtMs: nowMs + SUSPECT_LIFETIME_MS,
    });
    this.#removeOldest();
    return {fingerprint: record.fingerprint, upstreams: [...upstreams]};
  }

  /** Called when the request got a complete answer. Returns whether that cleared a suspect. */
  onAnswer(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || suspect.upstreams.size >= QUARANTINE_CRASHES) {
      return false;
    }
    return this.#suspects.delete(fingerprint);
  }

  #removeOldest(): void {
    if (this.#suspects.size > MAXIMUM_SUSPECTS) {
      const [oldest] = this.#suspects.keys();
      this.#suspects.delete(oldest);
    }
  }
}
