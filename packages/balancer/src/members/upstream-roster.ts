/**
 * The upstreams that are known, from announcements that come, change and
 * vanish. An announcement may vanish while the store is away though its
 * upstream lives: such an upstream stays in use until it had time to return.
 */

import type {UpstreamRecord} from './upstream-record.js';

/** Why an upstream is no longer used. */
export type LeavingReason = 'draining' | 'vanished' | 'replaced' | 'unreadable';

/** Told of changes. */
export interface RosterListener {
  onJoined(record: UpstreamRecord): void;
  onChanged(record: UpstreamRecord): void;
  onLeaving(record: UpstreamRecord, reason: LeavingReason): void;
}

/** Time that upstreams have to announce themselves again after an outage of the store. Source: the platform's guarantee of about two seconds. */
const RETURN_TIME_MS = 2_000;

interface Member {
  record: UpstreamRecord;
  /** Set while the announcement is missing. */
  goneAtMs: number | undefined;
}

/** The upstreams that are known. */
export class UpstreamRoster {
  readonly #members = new Map<string, Member>();
  readonly #listener: RosterListener;

  constructor(listener: RosterListener) {
    this.#listener = listener;
  }

  /** An announcement was read. */
  onRecord(record: UpstreamRecord): void {
    const member = this.#members.get(record.id);
    if (member === undefined) {
      this.#join(record);
      return;
    }
    if (isOlder(record, member.record)) {
      return;
    }
    if (!isSameStart(member.record, record)) {
      this.#leave(member, 'replaced');
      this.#join(record);
      return;
    }
    const wasDraining = member.record.isDraining;
    member.goneAtMs = undefined;
    // An upstream never returns from draining: an older announcement may be read later.
    member.record = {...record, isDraining: wasDraining || record.isDraining};
    if (record.isDraining && !wasDraining) {
      this.#listener.onLeaving(member.record, 'draining');
    } else {
      this.#listener.onChanged(member.record);
    }
  }

  /**
   * An announcement vanished.
   * @param mayReturn Whether the store has just been away.
   */
  onVanished(id: string, nowMs: number, mayReturn: boolean): void {
    const member = this.#members.get(id);
    if (member === undefined) {
      return;
    }
    if (mayReturn && !member.record.isDraining) {
      member.goneAtMs ??= nowMs + RETURN_TIME_MS;
      return;
    }
    this.#leave(member, 'vanished');
  }

  /** An announcement can't be read: it names no upstream to use. */
  onUnreadable(id: string): void {
    const member = this.#members.get(id);
    if (member !== undefined) {
      this.#leave(member, 'unreadable');
    }
  }

  /** Only these are announced now: the store was read whole. */
  onWhole(ids: ReadonlySet<string>, nowMs: number, mayReturn: boolean): void {
    for (const id of [...this.#members.keys()]) {
      if (!ids.has(id)) {
        this.onVanished(id, nowMs, mayReturn);
      }
    }
  }

  /** Drops what didn't return in time. */
  onPeriod(nowMs: number): void {
    for (const member of [...this.#members.values()]) {
      if (member.goneAtMs !== undefined && member.goneAtMs <= nowMs) {
        this.#leave(member, 'vanished');
      }
    }
  }

  #join(record: UpstreamRecord): void {
    this.#members.set(record.id, {record, goneAtMs: undefined});
    if (!record.isDraining) {
      this.#listener.onJoined(record);
    }
  }

  #leave(member: Member, reason: LeavingReason): void {
    this.#members.delete(member.record.id);
    this.#listener.onLeaving(member.record, reason);
  }
}

/** Whether `left` was announced before `right`: announcements may be written late. */
function isOlder(left: UpstreamRecord, right: UpstreamRecord): boolean {
  const leftStart = left.startedAtEpochMs ?? 0;
  const rightStart = right.startedAtEpochMs ?? 0;
  const isSame = leftStart === rightStart;
  return isSame ? left.sequence < right.sequence : leftStart < rightStart;
}

function isSameStart(left: UpstreamRecord, right: UpstreamRecord): boolean {
  return (
    left.startedAtEpochMs === right.startedAtEpochMs &&
    left.address === right.address &&
    left.service === right.service
  );
}
