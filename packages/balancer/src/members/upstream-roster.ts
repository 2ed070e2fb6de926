/**
 * Tracks the announced upstreams. An announcement may vanish during a store
 * outage although its upstream is alive: such an upstream stays in use for a
 * grace period in which it can announce itself again.
 */

import {DepartureMemory, type AnnouncementAge} from './departure-memory.js';
import {compareStarts} from './start-order.js';
import type {DepartedStart, UpstreamRecord} from './upstream-record.js';

/** Why an upstream is no longer used. */
export type LeavingReason =
  'draining' | 'answered' | 'vanished' | 'replaced' | 'unreadable' | 'told';

/** Called when upstreams join, change or leave. */
export interface UpstreamRosterListener {
  onJoined(record: UpstreamRecord): void;
  onChanged(record: UpstreamRecord): void;
  onLeaving(record: UpstreamRecord, reason: LeavingReason): void;
  /** Called when an announcement is not taken, as it is older than what is known. */
  onOutdated(record: UpstreamRecord, age: AnnouncementAge): void;
}

/** Time within which upstreams must announce themselves again after a store outage, in milliseconds. Source: the platform's guarantee of about two seconds. */
const GRACE_PERIOD_MS = 2_000;

interface Member {
  record: UpstreamRecord;
  /** Set while the announcement is missing: time at which the upstream is removed. */
  removeAtMs: number | undefined;
}

/** Keeps track of the announced upstreams. */
export class UpstreamRoster {
  readonly #members = new Map<string, Member>();
  readonly #listener: UpstreamRosterListener;
  readonly #departures = new DepartureMemory();

  constructor(listener: UpstreamRosterListener) {
    this.#listener = listener;
  }

  /** Number of departures that are remembered. */
  get rememberedDepartures(): number {
    return this.#departures.size;
  }

  /** Adds or updates an upstream from its announcement. */
  onRecord(record: UpstreamRecord, nowMs: number): void {
    const member = this.#members.get(record.id);
    if (member === undefined) {
      this.#joinIfCurrent(record, nowMs);
      return;
    }
    switch (compareStarts(record, member.record)) {
      case 'earlier':
        this.#listener.onOutdated(record, 'outdated');
        return;
      case 'same':
        this.#update(member, record);
        return;
      default:
        this.#replace(member, record, nowMs);
    }
  }

  /** That a start leaves is final, and holds whichever announcement is the later one. */
  #update(member: Member, record: UpstreamRecord): void {
    const {isDraining: wasDraining, sequence} = member.record;
    if (record.isDraining && !wasDraining) {
      member.removeAtMs = undefined;
      member.record = {...member.record, isDraining: true};
      this.#listener.onLeaving(member.record, 'draining');
      return;
    }
    if (record.sequence < sequence) {
      this.#listener.onOutdated(record, 'outdated');
      return;
    }
    member.removeAtMs = undefined;
    member.record = {...record, isDraining: wasDraining};
    this.#listener.onChanged(member.record);
  }

  #replace(member: Member, record: UpstreamRecord, nowMs: number): void {
    const age = this.#departures.ageOf(record, nowMs);
    if (age !== 'current') {
      this.#listener.onOutdated(record, age);
      return;
    }
    this.#leave(member, 'replaced', nowMs);
    this.#join(record);
  }

  #joinIfCurrent(record: UpstreamRecord, nowMs: number): void {
    const age = this.#departures.ageOf(record, nowMs);
    if (age === 'current') {
      this.#join(record);
    } else {
      this.#listener.onOutdated(record, age);
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
    this.#leave(member, 'vanished', nowMs);
  }

  /**
   * Takes an upstream's word in an answer that it is leaving. It holds until a
   * new start, whatever older announcement is read later, or again.
   */
  onLeavingAnswer(record: UpstreamRecord, nowMs: number): void {
    this.#departures.remember({...record, isDraining: true}, nowMs);
    const member = this.#members.get(record.id);
    if (member === undefined || member.record.isDraining) {
      return;
    }
    if (compareStarts(member.record, record) === 'same') {
      member.record = {...member.record, isDraining: true};
      this.#listener.onLeaving(member.record, 'answered');
    }
  }

  /** Takes departures that another entry tells of, which may be those of announcements that this one has taken. */
  onDepartures(departures: readonly DepartedStart[], nowMs: number): void {
    for (const {ageMs, ...start} of departures) {
      this.#departures.remember(start, nowMs - ageMs);
      const member = this.#members.get(start.id);
      const isInUse = member !== undefined && !member.record.isDraining;
      if (
        isInUse &&
        this.#departures.ageOf(member.record, nowMs) !== 'current'
      ) {
        this.#leave(member, 'told', nowMs);
      }
    }
  }

  /** Departures that another entry may not know: those remembered, and those of upstreams that are still announced. */
  listDepartures(nowMs: number): readonly DepartedStart[] {
    const draining = [...this.#members.values()]
      .filter(({record}) => record.isDraining)
      .map(({record}) => ({...record, ageMs: 0}));
    return [...this.#departures.listRecent(nowMs), ...draining];
  }

  /** Removes an upstream whose announcement can't be read. Whatever is read next of it counts again. */
  onUnreadable(id: string, nowMs: number): void {
    const member = this.#members.get(id);
    if (member !== undefined) {
      this.#leave(member, 'unreadable', nowMs);
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
        this.#leave(member, 'vanished', nowMs);
      }
    }
  }

  #join(record: UpstreamRecord): void {
    this.#members.set(record.id, {record, removeAtMs: undefined});
    if (!record.isDraining) {
      this.#listener.onJoined(record);
    }
  }

  #leave(member: Member, reason: LeavingReason, nowMs: number): void {
    const {record} = member;
    this.#members.delete(record.id);
    const isDeparture = reason !== 'unreadable' && reason !== 'told';
    if (isDeparture || record.isDraining) {
      this.#departures.remember(record, nowMs);
    }
    this.#listener.onLeaving(record, reason);
  }
}
