/**
 * Remembers which starts of upstreams have left, after their records are gone:
 * the store may do a write seconds after it was sent, and a read may be old, so
 * that an announcement can be read after the departure that followed it.
 */

import {compareStarts} from './start-order.js';
import type {DepartedStart, UpstreamRecord} from './upstream-record.js';

/** Upstreams whose departures are remembered: several times as many as there are at the size aimed for. */
const MAXIMUM_UPSTREAMS = 4_096;

/** Departed starts remembered of one upstream; without start times, none of them can be told to be the last. */
const MAXIMUM_STARTS = 8;

/** Time for which a departure holds that can't be told from a new start, in milliseconds. Source: late writes and old reads are seconds behind. */
const AMBIGUOUS_DEPARTURE_MS = 30_000;

/** Time for which a departure is told to entries that may not know it, in milliseconds. Source: late writes and old reads are seconds behind. */
const TOLD_MS = 30_000;

/** What an announcement says of an upstream that is not in use. */
export type AnnouncementAge =
  /** It is later than all departures. */
  | 'current'
  /** It is as old as a departure, or older. */
  | 'outdated'
  /** Its start has said that it leaves, whatever it announces later. */
  | 'left';

/** The part of an announcement that a departure is remembered by. */
type Start = Omit<DepartedStart, 'ageMs'>;

interface Departure {
  readonly record: Start;
  readonly leftAtMs: number;
}

/** Remembers departures of upstreams. */
export class DepartureMemory {
  readonly #departures = new Map<string, readonly Departure[]>();

  /** Number of departures. */
  get size(): number {
    const counts = [...this.#departures.values()].map(({length}) => length);
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Remembers a departure. @param start The last announcement; `isDraining` if the start has said that it leaves. */
  remember(start: Start, leftAtMs: number): void {
    const {id, startedAtEpochMs, service, address} = start;
    const others: Departure[] = [];
    let {sequence, isDraining} = start;
    for (const departure of this.#listOf(id, leftAtMs)) {
      const order = compareStarts(departure.record, start);
      if (order === 'same') {
        sequence = Math.max(sequence, departure.record.sequence);
        isDraining ||= departure.record.isDraining;
      } else if (order !== 'earlier') {
        others.push(departure);
      }
    }
    const place = {id, startedAtEpochMs, service, address};
    const record = {...place, sequence, isDraining};
    this.#departures.delete(id);
    const kept = others.slice(1 - MAXIMUM_STARTS);
    this.#departures.set(id, [...kept, {record, leftAtMs}]);
    const [oldest] = this.#departures.keys();
    if (this.#departures.size > MAXIMUM_UPSTREAMS && oldest !== undefined) {
      this.#departures.delete(oldest);
    }
  }

  /** Compares an announcement with the departures of its upstream. */
  ageOf(announced: UpstreamRecord, nowMs: number): AnnouncementAge {
    for (const {record, leftAtMs} of this.#listOf(announced.id, nowMs)) {
      const order = compareStarts(announced, record);
      const isSame =
        order === 'same' && holds(announced, {record, leftAtMs}, nowMs);
      if (isSame && record.isDraining) {
        return 'left';
      }
      if (order === 'earlier') {
        return 'outdated';
      }
      if (isSame && announced.sequence <= record.sequence) {
        return 'outdated';
      }
    }
    return 'current';
  }

  /** The departures that an entry which starts now may not know. */
  listRecent(nowMs: number): readonly DepartedStart[] {
    return [...this.#departures.values()]
      .flat()
      .map(({record, leftAtMs}) => ({...record, ageMs: nowMs - leftAtMs}))
      .filter(({ageMs}) => ageMs >= 0 && ageMs < TOLD_MS);
  }

  #listOf(id: string, nowMs: number): readonly Departure[] {
    const known = this.#departures.get(id) ?? [];
    return known.filter(departure => holds(departure.record, departure, nowMs));
  }
}

/** Whether a departure still tells something of an announcement of the same place. */
function holds(
  announced: Pick<UpstreamRecord, 'startedAtEpochMs'>,
  {record, leftAtMs}: Departure,
  nowMs: number,
): boolean {
  const isAmbiguous =
    announced.startedAtEpochMs === undefined ||
    record.startedAtEpochMs === undefined;
  return !isAmbiguous || nowMs - leftAtMs < AMBIGUOUS_DEPARTURE_MS;
}
