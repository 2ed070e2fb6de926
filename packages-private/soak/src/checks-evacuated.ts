/** Whether workers of evacuated availability zones are left alone. */

import type {History} from './history.js';
import {isInTouch} from './checks-touch.js';

/** Time after the store has taken the record until the zone's workers get nothing, in milliseconds. Source: the rules. */
const EVACUATE_MS = 5_000;

/** Requests that reached workers long after their zone was evacuated, from entries in contact with the store. */
export function checkEvacuated(history: History): string[] {
  const entries = new Map(history.calls.map(({id, entry}) => [id, entry]));
  return history.arrivals.flatMap(({id, worker, atMs}) => {
    const zone = history.zones.get(worker);
    const evacuation = history.evacuations.find(
      other =>
        other.zone === zone &&
        atMs > other.fromMs + EVACUATE_MS &&
        atMs < other.toMs,
    );
    const entry = entries.get(id);
    const isLate =
      evacuation !== undefined &&
      entry !== undefined &&
      isInTouch(history, entry, evacuation.fromMs, atMs) &&
      !isRelayLikely(history, evacuation.fromMs, atMs);
    return isLate
      ? [`${id} reached ${worker} though ${zone} was evacuated`]
      : [];
  });
}

/** While entries are cut off from workers, others send their requests, whose contact with the store isn't known here. */
function isRelayLikely({cuts}: History, fromMs: number, toMs: number): boolean {
  return cuts.some(cut => cut.fromMs < toMs && cut.toMs > fromMs);
}
