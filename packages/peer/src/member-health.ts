/**
 * Judges members by their heartbeats alone. A member whose heartbeat does not
 * rise is suspected and then taken for dead; a higher heartbeat refutes both
 * (van Renesse et al., "A Gossip-Style Failure Detection Service", 1998). The
 * judgement is one entry's own and may be wrong; nothing that must be safe may
 * rest on it.
 */

import {Chart, LifeCycle} from '@wasabidyke/shared';
import type {PeerTimings} from './peer-timings.js';
import type {RowId} from './rows.js';

/** What one entry believes about another. */
export type MemberHealth = 'live' | 'suspected' | 'dead' | 'forgotten';

type MemberTrigger = 'heartbeat' | 'silent' | 'silentLong' | 'forget';

const chart = Chart.load<MemberHealth, MemberTrigger>(
  new URL('../charts/member.chart.json', import.meta.url),
);

/** Members of other regions are heard of less often. */
const OTHER_REGION_PATIENCE = 2;

/** A gap between two checks of more than this many periods means that this process itself stood still. */
const STANDSTILL_PERIODS = 3;

interface Watched {
  readonly lifeCycle: LifeCycle<MemberHealth, MemberTrigger>;
  readonly patience: number;
  risenAtMs: number;
}

/** Told when the health of a member changes. */
export type HealthListener = (
  id: RowId,
  from: MemberHealth,
  to: MemberHealth,
) => void;

/** The health of all members but this process. Times are monotonic. */
export class HealthWatch {
  readonly #timings: PeerTimings;
  readonly #onChange: HealthListener;
  readonly #watched = new Map<RowId, Watched>();
  #checkedAtMs: number | undefined;

  constructor(timings: PeerTimings, onChange: HealthListener) {
    this.#timings = timings;
    this.#onChange = onChange;
  }

  /** The heartbeat of a member rose. */
  onHeartbeat(id: RowId, isSameRegion: boolean, nowMs: number): void {
    const present = this.#watched.get(id);
    if (present !== undefined) {
      present.risenAtMs = nowMs;
      present.lifeCycle.trigger('heartbeat');
      return;
    }
    const lifeCycle = new LifeCycle(chart, (from, to) =>
      this.#onChange(id, from, to),
    );
    const patience = isSameRegion ? 1 : OTHER_REGION_PATIENCE;
    this.#watched.set(id, {lifeCycle, patience, risenAtMs: nowMs});
  }

  /** The health of a member; undefined for one never heard of. */
  health(id: RowId): MemberHealth | undefined {
    return this.#watched.get(id)?.lifeCycle.state;
  }

  /** Judges every member by the time since its heartbeat rose. */
  check(nowMs: number): void {
    this.#forgiveStandstill(nowMs);
    for (const [id, watched] of this.#watched) {
      this.#judge(watched, nowMs - watched.risenAtMs);
      if (watched.lifeCycle.isFinal) {
        this.#watched.delete(id);
      }
    }
  }

  #judge({lifeCycle, patience}: Watched, silentMs: number): void {
    const {suspectAfterMs, deadAfterMs, forgetAfterMs} = this.#timings;
    const suspectMs = suspectAfterMs * patience;
    const deadMs = suspectMs + deadAfterMs * patience;
    if (silentMs >= suspectMs) {
      lifeCycle.trigger('silent');
    }
    if (silentMs >= deadMs) {
      lifeCycle.trigger('silentLong');
    }
    if (silentMs >= deadMs + forgetAfterMs) {
      lifeCycle.trigger('forget');
    }
  }

  /** Silence while this process stood still says nothing about the others. */
  #forgiveStandstill(nowMs: number): void {
    const before = this.#checkedAtMs ?? nowMs;
    this.#checkedAtMs = nowMs;
    const gapMs = nowMs - before;
    if (gapMs <= STANDSTILL_PERIODS * this.#timings.periodMs) {
      return;
    }
    for (const watched of this.#watched.values()) {
      watched.risenAtMs += gapMs;
    }
  }
}
