/**
 * Failure detection by heartbeats alone. A member whose heartbeat does not rise
 * is suspected and then considered dead; a higher heartbeat makes it live again
 * (van Renesse et al., "A Gossip-Style Failure Detection Service", 1998). The
 * result is one entry's own view and may be wrong, so no safety property may
 * depend on it.
 */

import {Chart, LifeCycle} from '@wasabidyke/shared';
import type {PeerTimings} from './peer-timings.js';
import type {RowId} from './rows.js';

/** Health of a member as seen by one entry. */
export type MemberHealth = 'live' | 'suspected' | 'dead' | 'forgotten';

type MemberTrigger = 'heartbeat' | 'silent' | 'silentLong' | 'forget';

const chart = Chart.load<MemberHealth, MemberTrigger>(
  new URL('../charts/member.chart.json', import.meta.url),
);

/** Factor on timeouts for members of other regions, whose heartbeats arrive less often. */
const OTHER_REGION_TIMEOUT_FACTOR = 2;

/** A longer gap between two checks, in periods, means that this process itself was paused. */
const MAXIMUM_CHECK_GAP_PERIODS = 3;

interface MonitoredMember {
  readonly lifeCycle: LifeCycle<MemberHealth, MemberTrigger>;
  readonly timeoutFactor: number;
  /** Monotonic time at which the heartbeat last rose. */
  lastHeartbeatAtMs: number;
}

/** Called when the health of a member changes. */
export type HealthListener = (
  id: RowId,
  from: MemberHealth,
  to: MemberHealth,
) => void;

/** Tracks the health of all other members. Times are monotonic. */
export class HealthMonitor {
  readonly #timings: PeerTimings;
  readonly #onChange: HealthListener;
  readonly #members = new Map<RowId, MonitoredMember>();
  #lastCheckAtMs: number | undefined;

  constructor(timings: PeerTimings, onChange: HealthListener) {
    this.#timings = timings;
    this.#onChange = onChange;
  }

  /** Called when the heartbeat of a member rises. */
  onHeartbeat(id: RowId, isSameRegion: boolean, nowMs: number): void {
    const present = this.#members.get(id);
    if (present !== undefined) {
      present.lastHeartbeatAtMs = nowMs;
      present.lifeCycle.trigger('heartbeat');
      return;
    }
    const lifeCycle = new LifeCycle(chart, (from, to) =>
      this.#onChange(id, from, to),
    );
    const timeoutFactor = isSameRegion ? 1 : OTHER_REGION_TIMEOUT_FACTOR;
    this.#members.set(id, {
      lifeCycle,
      timeoutFactor,
      lastHeartbeatAtMs: nowMs,
    });
  }

  /** Returns the health of a member; undefined if no heartbeat was received from it. */
  health(id: RowId): MemberHealth | undefined {
    return this.#members.get(id)?.lifeCycle.state;
  }

  /** Updates the health of every member from the time since its heartbeat rose. */
  check(nowMs: number): void {
    this.#discountPause(nowMs);
    for (const [id, member] of this.#members) {
      this.#updateHealth(member, nowMs - member.lastHeartbeatAtMs);
      if (member.lifeCycle.isFinal) {
        this.#members.delete(id);
      }
    }
  }

  #updateHealth(
    {lifeCycle, timeoutFactor}: MonitoredMember,
    sinceHeartbeatMs: number,
  ): void {
    const {suspectAfterMs, deadAfterMs, forgetAfterMs} = this.#timings;
    const suspectMs = suspectAfterMs * timeoutFactor;
    const deadMs = suspectMs + deadAfterMs * timeoutFactor;
    if (sinceHeartbeatMs >= suspectMs) {
      lifeCycle.trigger('silent');
    }
    if (sinceHeartbeatMs >= deadMs) {
      lifeCycle.trigger('silentLong');
    }
    if (sinceHeartbeatMs >= deadMs + forgetAfterMs) {
      lifeCycle.trigger('forget');
    }
  }

  /** Excludes the time in which this process was paused: missing heartbeats then are no evidence against the members. */
  #discountPause(nowMs: number): void {
    const previousCheckAtMs = this.#lastCheckAtMs ?? nowMs;
    this.#lastCheckAtMs = nowMs;
    const gapMs = nowMs - previousCheckAtMs;
    if (gapMs <= MAXIMUM_CHECK_GAP_PERIODS * this.#timings.periodMs) {
      return;
    }
    for (const member of this.#members.values()) {
      member.lastHeartbeatAtMs += gapMs;
    }
  }
}
