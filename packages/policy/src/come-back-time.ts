/** When a refused request may come back with a fair chance of being served. */

import type {RandomSource} from './selection.js';

/** Shortest time before the random part, in milliseconds: a round trip of a caller near by, who opens a connection anew. */
const SHORTEST_MS = 20;

/** Longest time, in milliseconds. */
const LONGEST_MS = 5_000;

/** Random part, as a share of the time, so that a herd doesn't return together. */
const SPREAD_SHARE = 0.5;

const PERMILLE = 1_000;

/**
 * Milliseconds after which room is expected.
 * @param excess Requests that wait beyond the room there is; none where a
 * request was shed though there was room.
 * @param drainMs Milliseconds that one place takes to get free.
 */
export function comeBackMs(
  excess: number,
  drainMs: number,
  random: RandomSource,
): number {
  const neededMs = Math.max(Math.max(0, excess) * drainMs, SHORTEST_MS);
  const spread = (SPREAD_SHARE * random.nextBelow(PERMILLE)) / PERMILLE;
  return Math.min(neededMs * (1 + spread), LONGEST_MS);
}
