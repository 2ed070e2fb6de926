/**
 * Protects upstreams from a request that crashes each one that runs it.
 *
 * A request in flight at an upstream that crashed becomes a suspect, and is
 * quarantined once enough upstreams crashed under it. One complete answer to
 * the same request from any upstream clears it, so a request that was in flight
 * only by chance is cleared by its next run. A crash is blamed on the request
 * with the most crashes: others that were in flight beside it are not
 * quarantined for it.
 */

/** Whether a request may crash upstreams. */
export type CrashStatus = 'clear' | 'suspect' | 'quarantined';

/** Crashes that one entry saw under a request; entries exchange these records. */
export interface SuspectRecord {
  /** Equal for requests that do the same. */
  readonly fingerprint: string;
  /** The entry that saw the crashes. Its records about one request add up until one without upstreams. */
  readonly reporter: string;
  /** Upstreams that crashed while they ran the request, by start of their process; empty if the request was cleared. */
  readonly upstreams: readonly string[];
}

/** Options of `CrashGuard`. */
export interface CrashGuardOptions {
  /** Name of this entry in its records. */
  readonly reporter: string;
  /** Number of different upstreams that must have crashed before a request is quarantined. */
  readonly quarantineCrashes: number;
}

/** Time after its last crash at which a suspect or a quarantine expires, in milliseconds. */
export const SUSPECT_LIFETIME_MS = 600_000;

/** Maximum number of suspects; the oldest that is not quarantined is removed first. */
const MAXIMUM_SUSPECTS = 4_096;

/** Maximum number of upstreams in one record; more add nothing to a quarantine. */
const MAXIMUM_UPSTREAMS = 16;

interface Suspect {
  readonly upstreamsByReporter: Map<string, readonly string[]>;
  /** Upstreams of all reporters. */
  upstreams: ReadonlySet<string>;
  expiresAtMs: number;
}

/** Tracks the requests during which upstreams crashed. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  readonly #suspects = new Map<string, Suspect>();
  readonly #fingerprintsByUpstream = new Map<string, Set<string>>();

  constructor(options: CrashGuardOptions) {
    this.#options = options;
  }

  /** Number of suspects, including expired ones that are not yet removed. */
  get size(): number {
    return this.#suspects.size;
  }

  /** Returns whether the request is clear, a suspect or quarantined. */
  statusOf(fingerprint: string, nowMs: number): CrashStatus {
    const suspect = this.#find(fingerprint, nowMs);
    if (suspect === undefined) {
      return 'clear';
    }
    return this.#isQuarantined(suspect) ? 'quarantined' : 'suspect';
  }

  /** Number of upstreams that crashed under the request. */
  crashesOf(fingerprint: string): number {
    return this.#suspects.get(fingerprint)?.upstreams.size ?? 0;
  }

  /** Time until the request is forgotten unless it crashes another upstream, in milliseconds. */
  remainingMs(fingerprint: string, nowMs: number): number {
    return (this.#suspects.get(fingerprint)?.expiresAtMs ?? nowMs) - nowMs;
  }

  /** Called when an upstream crashed while it ran the request. Returns the record to send to other entries. */
  onCrash(fingerprint: string, upstream: string, nowMs: number): SuspectRecord {
    const {reporter} = this.#options;
    this.onRecord({fingerprint, reporter, upstreams: [upstream]}, nowMs);
    return this.ownRecord(fingerprint);
  }

  /** What this entry reports about a request; without upstreams if it saw no crash, or the request was cleared. */
  ownRecord(fingerprint: string): SuspectRecord {
    const {reporter} = this.#options;
    const suspect = this.#suspects.get(fingerprint);
    const upstreams = suspect?.upstreamsByReporter.get(reporter) ?? [];
    return {fingerprint, reporter, upstreams};
  }

  /** Applies a record of an entry. */
  onRecord(
    {fingerprint, reporter, upstreams}: SuspectRecord,
    nowMs: number,
  ): void {
    const suspect = this.#find(fingerprint, nowMs) ?? createSuspect();
    const known = suspect.upstreams;
    const reported = suspect.upstreamsByReporter.get(reporter) ?? [];
    const isCleared = upstreams.length === 0;
    const all = isCleared ? [] : [...new Set([...reported, ...upstreams])];
    suspect.upstreamsByReporter.set(reporter, all.slice(-MAXIMUM_UPSTREAMS));
    const merged = new Set([...suspect.upstreamsByReporter.values()].flat());
    this.#remove(fingerprint);
    if (merged.size === 0) {
      return;
    }
    suspect.upstreams = merged;
    // A record that is read again must not prolong a quarantine.
    const hasNew = [...merged].some(upstream => !known.has(upstream));
    if (hasNew) {
      suspect.expiresAtMs = nowMs + SUSPECT_LIFETIME_MS;
    }
    this.#add(fingerprint, suspect);
    this.#removeSurplus();
  }

  /** Called when the request got a complete answer. Returns the entries whose records about it that refutes. */
  onAnswer(fingerprint: string): readonly string[] {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || this.#isQuarantined(suspect)) {
      return [];
    }
    this.#remove(fingerprint);
    return [...suspect.upstreamsByReporter]
      .filter(([, upstreams]) => upstreams.length > 0)
      .map(([reporter]) => reporter);
  }

  #find(fingerprint: string, nowMs: number): Suspect | undefined {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect !== undefined && suspect.expiresAtMs <= nowMs) {
      this.#remove(fingerprint);
      return undefined;
    }
    return suspect;
  }

  #isQuarantined({upstreams}: Suspect): boolean {
    const {quarantineCrashes} = this.#options;
    if (upstreams.size < quarantineCrashes) {
      return false;
    }
    const blamed = [...upstreams].filter(
      upstream => !this.#isExplained(upstream, upstreams.size),
    );
    return blamed.length >= quarantineCrashes;
  }

  /** Whether a request with more than `crashes` crashes was in flight at the upstream too. */
  #isExplained(upstream: string, crashes: number): boolean {
    const fingerprints = this.#fingerprintsByUpstream.get(upstream) ?? [];
    return [...fingerprints].some(
      fingerprint => this.crashesOf(fingerprint) > crashes,
    );
  }

  #add(fingerprint: string, suspect: Suspect): void {
    this.#suspects.set(fingerprint, suspect);
    for (const upstream of suspect.upstreams) {
      const fingerprints = this.#fingerprintsByUpstream.get(upstream);
      if (fingerprints === undefined) {
        this.#fingerprintsByUpstream.set(upstream, new Set([fingerprint]));
      } else {
        fingerprints.add(fingerprint);
      }
    }
  }

  #remove(fingerprint: string): void {
    const suspect = this.#suspects.get(fingerprint);
    this.#suspects.delete(fingerprint);
    for (const upstream of suspect?.upstreams ?? []) {
      const fingerprints = this.#fingerprintsByUpstream.get(upstream);
      fingerprints?.delete(fingerprint);
      if (fingerprints?.size === 0) {
        this.#fingerprintsByUpstream.delete(upstream);
      }
    }
  }

  #removeSurplus(): void {
    if (this.#suspects.size <= MAXIMUM_SUSPECTS) {
      return;
    }
    for (const [fingerprint, {upstreams}] of this.#suspects) {
      if (upstreams.size < this.#options.quarantineCrashes) {
        this.#remove(fingerprint);
        return;
      }
    }
    const [oldest] = this.#suspects.keys();
    this.#remove(oldest);
  }
}

function createSuspect(): Suspect {
  return {
    upstreamsByReporter: new Map(),
    upstreams: new Set(),
    expiresAtMs: 0,
  };
}
