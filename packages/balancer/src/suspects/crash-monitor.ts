/** Knows which requests crash upstreams, from this entry's own attempts and from the records of other entries. */

import type {CrashGuard, CrashStatus, SuspectRecord} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {UpstreamRecord} from '../members/upstream-record.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import {parseSuspect, parseSuspectKey, toSuspectKey} from './suspect-record.js';
import type {SuspectAnnouncer} from './suspect-announcer.js';

/** Options of `CrashMonitor`. */
export interface CrashMonitorOptions {
  readonly guard: CrashGuard;
  readonly announcer: SuspectAnnouncer;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Crashes under one request before it is quarantined. An idempotent request that is innocent may be retried at the next upstream that a guilty one crashes, but seldom at a third. */
export const QUARANTINE_CRASHES = 3;

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

  statusOf(fingerprint: string): CrashStatus {
    const {guard, clock} = this.#options;
    return guard.statusOf(fingerprint, clock.now());
  }

  /** Time until a suspect is forgotten, in milliseconds. */
  remainingMs(fingerprint: string): number {
    const {guard, clock} = this.#options;
    return guard.remainingMs(fingerprint, clock.now());
  }

  /** Called when an upstream crashed under a request. @param requestId Identifies this send of it. */
  onCrash(
    fingerprint: string,
    upstream: UpstreamRecord,
    requestId: string | undefined,
  ): void {
    const {guard, clock, log} = this.#options;
    const {id, startedAtEpochMs = ''} = upstream;
    guard.onCrash(fingerprint, `${id}@${startedAtEpochMs}`, clock.now());
    log.record('request.suspected', {
      request: requestId,
      fingerprint,
      upstream: id,
      crashes: guard.crashesOf(fingerprint),
      outcome: this.statusOf(fingerprint),
    });
  }

  /** Called when a request ended without an answer after its connection to an upstream broke: tells the other entries of crashes. */
  onFailure(fingerprint: string): void {
    const {guard, announcer} = this.#options;
    const record = guard.ownRecord(fingerprint);
    if (record.upstreams.length > 0) {
      announcer.announce(record);
    }
  }

  /** Called when an upstream answered a request: it crashed none. Withdraws what entries reported. */
  onAnswer(fingerprint: string): void {
    const {guard, announcer, log} = this.#options;
    const reporters = guard.onAnswer(fingerprint);
    if (reporters.length > 0) {
      const count = reporters.length;
      log.record('suspect.cleared', {fingerprint, reporters: count});
    }
    for (const reporter of reporters) {
      announcer.withdraw(fingerprint, reporter);
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
  }

  /** Announces a suspect of this entry again whose record ended before its time, as leases may in an outage. */
  #onRemoved(key: string): void {
    const {guard, announcer, clock} = this.#options;
    const fingerprint = parseSuspectKey(key)?.fingerprint ?? '';
    const record = guard.ownRecord(fingerprint);
    const isOwn = key === toSuspectKey(fingerprint, record.reporter);
    const isKnown = guard.statusOf(fingerprint, clock.now()) !== 'clear';
    if (isOwn && isKnown && record.upstreams.length > 0) {
      announcer.announce(record);
    }
  }

  /** Called with each record of another entry. */
  onRecord(record: SuspectRecord): void {
    const {guard, clock, log} = this.#options;
    const {fingerprint, reporter} = record;
    const nowMs = clock.now();
    const before = guard.statusOf(fingerprint, nowMs);
    guard.onRecord(record, nowMs);
    const after = guard.statusOf(fingerprint, nowMs);
    if (before !== after) {
      log.record('suspect.learned', {
        fingerprint,
        reporter,
        crashes: guard.crashesOf(fingerprint),
        outcome: after,
      });
    }
  }
}
