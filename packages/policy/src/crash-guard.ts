/**
 * Protects upstreams from a request that crashes each one that runs it.
 *
 * A request in flight at an upstream that crashed becomes a suspect, and is
 * quarantined once enough upstreams crashed under it, not all together. One
 * complete answer to the same caller clears it, so a request that was in flight
 * only by chance is cleared by its next run. Requests that differ only in their
 * caller are told apart, unless several callers crash upstreams with them and
 * none gets an answer.
 */

import {
  countSuccessive,
  isSpread,
  mergeCrashes,
  upstreamsOf,
  type Crash,
} from './crash.js';

/** Whether a request may crash upstreams. */
export type CrashStatus = 'clear' | 'suspect' | 'quarantined';

/** A request as the guard tells it from others. */
export interface RequestIdentity {
  /** Equal for requests that do the same, whoever sends them. */
  readonly fingerprint: string;
  /** Fingerprint of the caller; undefined where callers are not told apart. */
  readonly caller?: string;
}

/** Crashes that one entry saw under a request; entries exchange these records. */
export interface SuspectRecord {
  readonly fingerprint: string;
  /** The entry that saw the crashes. */
  readonly reporter: string;
  /** Rises with each change. A record replaces one with a lower number, and is merged with one of the same. */
  readonly sequence: number;
  /** Empty if the request was cleared. */
  readonly crashes: readonly Crash[];
  /** Whether another caller got an answer to the same request. */
  readonly isAnswered: boolean;
}

/** Options of `CrashGuard`. */
export interface CrashGuardOptions {
  /** Name of this entry in its records. */
  readonly reporter: string;
  /** Number of different upstreams that must have crashed before a request is quarantined. */
  readonly quarantineCrashes: number;
  /** Whether upstreams that crashed together are enough for a quarantine. */
  readonly countsOverlapping: boolean;
  /** Time within which this entry learns of one crash from all requests that were in flight, in milliseconds; infinite where upstreams are named by the start of their process. */
  readonly sameCrashMs: number;
}

/** Time after its last crash at which a suspect or a quarantine expires, in milliseconds. */
export const SUSPECT_LIFETIME_MS = 600_000;

/** Maximum number of suspects; the oldest that is not quarantined is removed first. */
const MAXIMUM_SUSPECTS = 4_096;

/** Maximum number of crashes in one record; more add nothing to a quarantine. */
const MAXIMUM_CRASHES = 16;

/** Minimum number of crashes in turn: upstreams that are lost together, such as those of a rack, have a cause of their own. */
const MINIMUM_SUCCESSIVE = 2;

/** Maximum number of entries whose records about one request are kept; the record that is longest unchanged is removed first. */
const MAXIMUM_REPORTERS = 32;

interface Suspect {
  readonly records: Map<string, SuspectRecord>;
  /** Crashes of all records. */
  crashes: readonly Crash[];
  /** Upstreams of `crashes`, with the time at which this entry learned of each crash. */
  upstreams: ReadonlyMap<string, number>;
  /** Number of upstreams that crashed in turn. */
  successive: number;
  expiresAtMs: number;
}

/** Tracks the requests during which upstreams crashed. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  /** Suspects, and requests that were cleared, by fingerprint. */
  readonly #suspects = new Map<string, Suspect>();
  readonly #fingerprintsByUpstream = new Map<string, Set<string>>();
  #activeCount = 0;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
  }

  /** Number of requests that are not cleared, including expired ones that are not yet removed. */
  get size(): number {
    return this.#activeCount;
  }

  /** Returns whether the request is clear, a suspect or quarantined. */
  statusOf(identity: RequestIdentity, nowMs: number): CrashStatus {
    const suspect = this.#find(identity.fingerprint, nowMs);
    if (suspect === undefined) {
      return 'clear';
    }
    const own = suspect.crashes.filter(
      ({caller}) => caller === identity.caller,
    );
    if (this.#isGuilty(own, suspect) || this.#isGuiltyForAll(suspect)) {
      return 'quarantined';
    }
    return own.length > 0 ? 'suspect' : 'clear';
  }

  /** Number of upstreams that crashed under the request. */
  crashesOf(fingerprint: string): number {
    return this.#suspects.get(fingerprint)?.upstreams.size ?? 0;
  }

  /** Time until the request is forgotten unless it crashes another upstream, in milliseconds. */
  remainingMs(fingerprint: string, nowMs: number): number {
    return (this.#suspects.get(fingerprint)?.expiresAtMs ?? nowMs) - nowMs;
  }

  /** Latest record of an entry about a request. */
  recordOf(fingerprint: string, reporter: string): SuspectRecord | undefined {
    return this.#suspects.get(fingerprint)?.records.get(reporter);
  }

  /** Latest records of all entries that blame a request. */
  listRecords(nowMs: number): readonly SuspectRecord[] {
    return [...this.#suspects.values()]
      .filter(({expiresAtMs}) => expiresAtMs > nowMs)
      .flatMap(({records}) => [...records.values()])
      .filter(({crashes}) => crashes.length > 0);
  }

  /** Called when an upstream crashed while it ran the request. Returns the record to send to other entries. */
  onCrash(
    {fingerprint, caller}: RequestIdentity,
    crash: Omit<Crash, 'caller'>,
    nowMs: number,
  ): SuspectRecord {
    const {reporter} = this.#options;
    const known = this.recordOf(fingerprint, reporter);
    const crashes = mergeCrashes(known?.crashes ?? [], [{...crash, caller}]);
    const record = {
      fingerprint,
      reporter,
      sequence: (known?.sequence ?? 0) + 1,
      crashes: crashes.slice(-MAXIMUM_CRASHES),
      isAnswered: known?.isAnswered ?? false,
    };
    this.onRecord(record, nowMs);
    return record;
  }

  /** Applies a record of an entry, unless a later one is known. */
  onRecord(record: SuspectRecord, nowMs: number): void {
    const {fingerprint, reporter, sequence} = record;
    const known = this.#find(fingerprint, nowMs);
    const former = known?.records.get(reporter);
    if (former !== undefined && former.sequence > sequence) {
      return;
    }
    const isSame = former?.sequence === sequence;
    const records = new Map(known?.records);
    records.delete(reporter);
    records.set(reporter, isSame ? mergeRecords(former, record) : record);
    const [oldestReporter] = records.keys();
    if (records.size > MAXIMUM_REPORTERS) {
      records.delete(oldestReporter);
    }
    this.#replace(fingerprint, known, records, nowMs);
  }

  /** Called when the request got a complete answer, which also ends a quarantine: a send that was in flight shows that it was blamed wrongly. Returns the records that changed. */
  onAnswer(
    {fingerprint, caller}: RequestIdentity,
    nowMs: number,
  ): readonly SuspectRecord[] {
    const suspect = this.#find(fingerprint, nowMs);
    if (suspect === undefined) {
      return [];
    }
    const changed = [...suspect.records.values()]
      .filter(({crashes}) => crashes.length > 0)
      .map(record => toAnswered(record, caller))
      .filter(record => record !== undefined);
    changed.forEach(record => this.onRecord(record, nowMs));
    return changed;
  }

  /** Called when an upstream runs that this entry took for crashed. Returns its records that changed. */
  onRefuted(upstream: string, nowMs: number): readonly SuspectRecord[] {
    const {reporter} = this.#options;
    const fingerprints = this.#fingerprintsByUpstream.get(upstream) ?? [];
    const changed = [...fingerprints]
      .map(fingerprint => this.recordOf(fingerprint, reporter))
      .filter(record => record !== undefined)
      .map(record => withoutCrash(record, upstream))
      .filter(record => record !== undefined);
    changed.forEach(record => this.onRecord(record, nowMs));
    return changed;
  }

  #find(fingerprint: string, nowMs: number): Suspect | undefined {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect !== undefined && suspect.expiresAtMs <= nowMs) {
      this.#remove(fingerprint);
      return undefined;
    }
    return suspect;
  }

  #isGuilty(crashes: readonly Crash[], suspect: Suspect): boolean {
    const {quarantineCrashes, countsOverlapping} = this.#options;
    if (crashes.length < quarantineCrashes) {
      return false;
    }
    return countsOverlapping
      ? this.#isGuiltyByCount(crashes, suspect)
      : this.#isGuiltyOverTime(crashes, suspect);
  }

  /** Whether enough upstreams crashed in turn, or at once with no other request to blame. */
  #isGuiltyByCount(crashes: readonly Crash[], suspect: Suspect): boolean {
    const {quarantineCrashes} = this.#options;
    if (countSuccessive(crashes) >= quarantineCrashes) {
      return true;
    }
    const blamed = crashes.filter(
      ({upstream}) => !this.#isExplained(upstream, quarantineCrashes, suspect),
    );
    return upstreamsOf(blamed).size >= quarantineCrashes;
  }

  /** Whether enough upstreams crashed for which no other request is to blame, and not all that crashed did so together. */
  #isGuiltyOverTime(crashes: readonly Crash[], suspect: Suspect): boolean {
    const blamed = crashes.filter(
      ({upstream}) =>
        !this.#isExplained(upstream, suspect.successive + 1, suspect),
    );
    return (
      upstreamsOf(blamed).size >= this.#options.quarantineCrashes &&
      countSuccessive(crashes) >= MINIMUM_SUCCESSIVE
    );
  }

  /** Whether the request is guilty whoever sends it: several callers crash upstreams with it, and none gets an answer. */
  #isGuiltyForAll(suspect: Suspect): boolean {
    const {crashes, records} = suspect;
    const isAnswered = [...records.values()].some(record => record.isAnswered);
    return !isAnswered && isSpread(crashes) && this.#isGuilty(crashes, suspect);
  }

  /** Whether a request with at least `successive` crashes in turn was in flight at the upstream at the same crash. */
  #isExplained(
    upstream: string,
    successive: number,
    {upstreams}: Suspect,
  ): boolean {
    const fingerprints = this.#fingerprintsByUpstream.get(upstream) ?? [];
    const learnedAtMs = upstreams.get(upstream) ?? 0;
    return [...fingerprints].some(fingerprint => {
      const other = this.#suspects.get(fingerprint);
      const otherLearnedAtMs = other?.upstreams.get(upstream) ?? -Infinity;
      const apartMs = Math.abs(otherLearnedAtMs - learnedAtMs);
      const isStronger = (other?.successive ?? 0) >= successive;
      return isStronger && apartMs <= this.#options.sameCrashMs;
    });
  }

  #replace(
    fingerprint: string,
    known: Suspect | undefined,
    records: Map<string, SuspectRecord>,
    nowMs: number,
  ): void {
    const reported = [...records.values()].map(({crashes}) => crashes);
    const crashes = reported.reduce(mergeCrashes, []);
    const upstreams = new Map(
      [...upstreamsOf(crashes)].map(upstream => [
        upstream,
        known?.upstreams.get(upstream) ?? nowMs,
      ]),
    );
    const successive = countSuccessive(crashes);
    // A record that is read again must not prolong a quarantine.
    const hasNew =
      known === undefined ||
      [...upstreams.keys()].some(upstream => !known.upstreams.has(upstream));
    const expiresAtMs = hasNew
      ? nowMs + SUSPECT_LIFETIME_MS
      : known.expiresAtMs;
    this.#remove(fingerprint);
    this.#add(fingerprint, {
      records,
      crashes,
      upstreams,
      successive,
      expiresAtMs,
    });
    this.#removeSurplus();
  }

  #add(fingerprint: string, suspect: Suspect): void {
    this.#suspects.set(fingerprint, suspect);
    this.#activeCount += Number(suspect.crashes.length > 0);
    for (const upstream of suspect.upstreams.keys()) {
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
    if (suspect === undefined) {
      return;
    }
    this.#suspects.delete(fingerprint);
    this.#activeCount -= Number(suspect.crashes.length > 0);
    for (const upstream of suspect.upstreams.keys()) {
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

/** Merges two records of the same number, which two entries may have written at the same time. */
function mergeRecords(
  left: SuspectRecord,
  right: SuspectRecord,
): SuspectRecord {
  const crashes = mergeCrashes(left.crashes, right.crashes);
  const isAnswered = left.isAnswered || right.isAnswered;
  return {...left, crashes: crashes.slice(-MAXIMUM_CRASHES), isAnswered};
}

/** The record without the crash of an upstream; undefined if it has none. */
function withoutCrash(
  record: SuspectRecord,
  upstream: string,
): SuspectRecord | undefined {
  const crashes = record.crashes.filter(crash => crash.upstream !== upstream);
  return crashes.length < record.crashes.length
    ? {...record, sequence: record.sequence + 1, crashes}
    : undefined;
}

/** The record after an answer to a caller; undefined if it changes nothing. */
function toAnswered(
  record: SuspectRecord,
  caller: string | undefined,
): SuspectRecord | undefined {
  const crashes = record.crashes.filter(crash => crash.caller !== caller);
  const isAnswered = crashes.length > 0;
  const isChanged =
    crashes.length < record.crashes.length || isAnswered !== record.isAnswered;
  return isChanged
    ? {...record, sequence: record.sequence + 1, crashes, isAnswered}
    : undefined;
}
