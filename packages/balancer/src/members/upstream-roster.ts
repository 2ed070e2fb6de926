/**
 * Tracks the announced upstreams. An announcement may vanish during a store
 * outage although its upstream is alive: such an upstream stays in use for a
 * grace period in which it can announce itself again.
 */

import type {UpstreamRecord} from './upstream-record.js';

/** Why an upstream is no longer used. */
export type LeavingReason =
  'draining' | 'answered' | 'vanished' | 'replaced' | 'unreadable';

/** Called when upstreams join, change or leave. */
export interface UpstreamRosterListener {
  onJoined(record: UpstreamRecord): void;
  onChanged(record: UpstreamRecord): void;
  onLeaving(record: UpstreamRecord, reason: LeavingReason): void;
}

/** Time within which upstreams must announce themselves again after a store outage, in milliseconds. Source: the platform's guarantee of about two seconds. */
const GRACE_PERIOD_MS = 2_000;

/** Upstreams that said in an answer that they are leaving, as many as are kept: more than leave within the time for which records are read again. */
const MAXIMUM_LEFT = 1_000;

interface Member {
  record: UpstreamRecord;
  /** Set while the announcement is missing: time at which the upstream is removed. */
  removeAtMs: number | undefined;
}

/** Keeps track of the announced upstreams. */
export class UpstreamRoster {
  readonly #members = new Map<string, Member>();
  readonly #listener: UpstreamRosterListener;
  /** Upstreams that said in an answer that they are leaving, by id. */
  readonly #left = new Map<string, UpstreamRecord>();

  constructor(listener: UpstreamRosterListener) {
    this.#listener = listener;
  }

  /** Adds or updates an upstream from its announcement. */
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
    member.removeAtMs = undefined;
    // Draining is final: an older announcement may be read later.
    member.record = {...record, isDraining: wasDraining || record.isDraining};
    if (record.isDraining && !wasDraining) {
      this.#listener.onLeaving(member.record, 'draining');
    } else {
      this.#listener.onChanged(member.record);
    }
  }

  /**
   * Removes an upstream whose announcement vanished.
   * @param mayReappear Whether the store was just unavailable, so that an upstream that isn't draining gets a grace period.
   */
  onVanished(id: string, nowMs: number, mayReappear: boolean): void {
    const member = this.#members.get(id);
    if (member === undefined) {
      return;
    }
    if (mayReappear && !member.record.isDraining) {
      member.removeAtMs ??= nowMs + GRACE_PERIOD_MS;
      return;
    }
    this.#leave(member, 'vanished');
  }

  /**
   * Takes an upstream's word in an answer that it is leaving. It holds until a
   * new start, whatever older announcement is read later, or again.
   */
  onLeavingAnswer(record: UpstreamRecord): void {
    this.#rememberLeft(record);
    const member = this.#members.get(record.id);
    if (member === undefined || member.record.isDraining) {
      return;
    }
    if (isSameStart(member.record, record)) {
      member.record = {...member.record, isDraining: true};
      this.#listener.onLeaving(member.record, 'answered');
    }
  }

  #rememberLeft(record: UpstreamRecord): void {
    this.#left.set(record.id, record);
    const [oldest] = this.#left.keys();
    if (this.#left.size > MAXIMUM_LEFT && oldest !== undefined) {
      this.#left.delete(oldest);
    }
  }

  #hasLeft(record: UpstreamRecord): boolean {
    const left = this.#left.get(record.id);
    return left !== undefined && isSameStart(left, record);
  }

  /** Removes an upstream whose announcement can't be parsed. */
  onUnreadable(id: string): void {
    const member = this.#members.get(id);
    if (member !== undefined) {
      this.#leave(member, 'unreadable');
    }
  }

  /** Removes the upstreams that are missing in a complete read. */
  onCompleteRead(
    ids: ReadonlySet<string>,
    nowMs: number,
    mayReappear: boolean,
  ): void {
    for (const id of [...this.#members.keys()]) {
      if (!ids.has(id)) {
        this.onVanished(id, nowMs, mayReappear);
      }
    }
  }

  /** Removes upstreams whose grace period has ended. */
  onTick(nowMs: number): void {
    for (const member of [...this.#members.values()]) {
      if (member.removeAtMs !== undefined && member.removeAtMs <= nowMs) {
        this.#leave(member, 'vanished');
      }
    }
  }

  #join(announced: UpstreamRecord): void {
    const isDraining = announced.isDraining || this.#hasLeft(announced);
    const record = {...announced, isDraining};
    this.#members.set(record.id, {record, removeAtMs: undefined});
    if (!record.isDraining) {
      this.#listener.onJoined(record);
    }
  }

  #leave(member: Member, reason: LeavingReason): void {
    this.#members.delete(member.record.id);
    this.#listener.onLeaving(member.record, reason);
  }
}

/** Whether `left` was announced before `right`. Announcements may be written out of order. */
function isOlder(left: UpstreamRecord, right: UpstreamRecord): boolean {
  const leftStart = left.startedAtEpochMs ?? 0;
  const rightStart = right.startedAtEpochMs ?? 0;
  const isSameStartTime = leftStart === rightStart;
  return isSameStartTime
    ? left.sequence < right.sequence
    : leftStart < rightStart;
}

function isSameStart(left: UpstreamRecord, right: UpstreamRecord): boolean {
  return (
    left.startedAtEpochMs === right.startedAtEpochMs &&
    left.address === right.address &&
    left.service === right.service
  );
}
