/** Knows which requests crash upstreams, from this entry's own attempts and from the records of other entries. */

import {
  rendezvousHash,
  type Crash,
  type CrashGuard,
  type CrashStatus,
  type RequestIdentity,
  type SuspectRecord,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {UpstreamRecord} from '../members/upstream-record.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {SuspectAnnouncer} from './suspect-announcer.js';
import {fingerprintIn, parseSuspect, toSuspectKey} from './suspect-record.js';

/** Options of `CrashMonitor`. */
export interface CrashMonitorOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly guard: CrashGuard;
  readonly announcer: SuspectAnnouncer;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** An upstream that crashed under a request, and when it ran it. */
export interface UpstreamCrash {
  readonly upstream: UpstreamRecord;
  readonly span: Crash['span'];
}

/** Who sent a request, for the log. */
export interface Sender {
  readonly requestId: string | undefined;
  readonly callerAddress: string;
}

/** Crashes under one request before it is quarantined. An innocent idempotent request may be retried at the next upstream that a guilty one crashes, but seldom at a third. */
export const QUARANTINE_CRASHES = 3;

/** Names one start of an upstream. */
export function toStartName(
  upstream: Pick<UpstreamRecord, 'id' | 'startedAtEpochMs'>,
): string {
  const {id, startedAtEpochMs} = upstream;
  return `${id}@${startedAtEpochMs ?? ''}`;
}

/** Decides which requests are refused because they crash upstreams. */
export class CrashMonitor {
  readonly #options: CrashMonitorOptions;

  constructor(options: CrashMonitorOptions) {
    this.#options = options;
  }

  /** Whether there may be suspects. */
  get hasSuspects(): boolean {
    return this.#options.guard.size > 0;
  }

  statusOf(identity: RequestIdentity): CrashStatus {
    const {guard, clock} = this.#options;
    return guard.statusOf(identity, clock.now());
  }

  /** Time until a suspect is forgotten, in milliseconds. */
  remainingMs({fingerprint}: RequestIdentity): number {
    const {guard, clock} = this.#options;
    return guard.remainingMs(fingerprint, clock.now());
  }

  /** A span of the monotonic clock on the wall clock, which entries can compare. */
  spanOf(startedAtMs: number, endedAtMs: number): Crash['span'] {
    const {clock} = this.#options;
    const offsetMs = clock.wallTime() - clock.now();
    return {
      fromMs: Math.round(startedAtMs + offsetMs),
      toMs: Math.round(endedAtMs + offsetMs),
    };
  }

  /** Called when an upstream crashed under a request. */
  onCrash(
    identity: RequestIdentity,
    {upstream, span}: UpstreamCrash,
    {requestId, callerAddress}: Sender,
  ): void {
    const {guard, clock, log} = this.#options;
    const crash = {upstream: toStartName(upstream), span};
    guard.onCrash(identity, crash, clock.now());
    log.record('request.suspected', {
      request: requestId,
      fingerprint: identity.fingerprint,
      caller: callerAddress,
      upstream: upstream.id,
      crashes: guard.crashesOf(identity.fingerprint),
      outcome: this.statusOf(identity),
    });
  }

  /** Called when a request ended without an answer after its connection to an upstream broke: tells the other entries of crashes. */
  onFailure({fingerprint}: RequestIdentity): void {
    const {entry, guard, announcer} = this.#options;
    const record = guard.recordOf(fingerprint, entry);
    if (record !== undefined && record.crashes.length > 0) {
      announcer.announce(record);
    }
  }

  /** Called when an upstream answered a request, which refutes what entries reported of it for that caller. */
  onAnswer(identity: RequestIdentity): void {
    const {entry, guard, announcer, clock, log} = this.#options;
    const changed = guard.onAnswer(identity, clock.now());
    if (changed.length === 0) {
      return;
    }
    log.record('suspect.cleared', {
      fingerprint: identity.fingerprint,
      reporters: changed.length,
      outcome: this.statusOf(identity),
    });
    for (const record of changed) {
      if (record.reporter === entry) {
        announcer.correct(record);
      } else {
        announcer.correctLater(record);
      }
    }
  }

  /** Called when an upstream runs that was taken for crashed: withdraws what this entry reported. @param start Name of its start. */
  onRefuted(start: string): void {
    const {guard, announcer, clock, log} = this.#options;
    for (const record of guard.onRefuted(start, clock.now())) {
      const {fingerprint} = record;
      log.record('suspect.withdrawn', {
        fingerprint,
        upstream: start,
        crashes: guard.crashesOf(fingerprint),
      });
      announcer.correct(record);
    }
  }

  /** Called with each change of a record in the store. */
  onStoreChange(key: string, value: Buffer | undefined): void {
    if (value === undefined) {
      this.#onRemoved(key);
      return;
    }
    const record = parseSuspect(key, value);
    if (record === undefined) {
      this.#options.log.record('suspect.unreadable', {subject: key});
      return;
    }
    this.onRecord(record);
    this.#announceLatest(record);
  }

  /** Called with each record of an entry, from the store or from that entry itself. */
  onRecord(record: SuspectRecord): void {
    const {guard, clock, log} = this.#options;
    const {fingerprint, reporter} = record;
    const nowMs = clock.now();
    const before = guard.crashesOf(fingerprint);
    guard.onRecord(record, nowMs);
    const crashes = guard.crashesOf(fingerprint);
    if (before !== crashes) {
      const callers = new Set(record.crashes.map(({caller}) => caller));
      const [caller] = callers;
      log.record('suspect.learned', {
        fingerprint,
        reporter,
        callers: callers.size,
        crashes,
        outcome: guard.statusOf({fingerprint, caller}, nowMs),
      });
    }
  }

  /**
   * Announces what the store has lost: the records of this entry and, with one
   * entry for each, those of entries that don't do so themselves. Returns their
   * number.
   * @param keys Keys of the records that the store holds.
   * @param restorers Names of the entries that announce again what was lost.
   */
  restore(keys: ReadonlySet<string>, restorers: readonly string[]): number {
    const {entry, guard, announcer, clock} = this.#options;
    const lost = guard
      .listRecords(clock.now())
      .filter(record => !keys.has(toSuspectKey(record)))
      .filter(record => {
        const key = toSuspectKey(record);
        return restorers.includes(record.reporter)
          ? record.reporter === entry
          : findNearest(key, restorers) === entry;
      });
    announcer.restore(lost);
    return lost.length;
  }

  /** Announces the latest record of this entry if the store holds an older one: it may have changed while that was being written. */
  #announceLatest({fingerprint, reporter, sequence}: SuspectRecord): void {
    const {entry, guard, announcer} = this.#options;
    const latest = guard.recordOf(fingerprint, entry);
    const isOlder = latest !== undefined && latest.sequence > sequence;
    if (reporter === entry && isOlder) {
      announcer.announce(latest);
    }
  }

  /** Announces a suspect of this entry again whose record ended before its time, as leases may in an outage. */
  #onRemoved(key: string): void {
    const {entry} = this.#options;
    const fingerprint = fingerprintIn(key);
    const isOwn = key === toSuspectKey({fingerprint, reporter: entry});
    if (isOwn && this.remainingMs({fingerprint}) > 0) {
      this.onFailure({fingerprint});
    }
  }
}

/** The entry that a key is assigned to. */
function findNearest(
  key: string,
  entries: readonly string[],
): string | undefined {
  const hashes = new Map(
    entries.map(entry => [entry, rendezvousHash(entry, key)]),
  );
  return [...entries].sort(
    (left, right) => (hashes.get(left) ?? 0) - (hashes.get(right) ?? 0),
  )[0];
}
