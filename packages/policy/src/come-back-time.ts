/** When a refused request may come back with a fair chance of being served. */

import type {RandomSource} from './selection.js';

/** Shortest time, in milliseconds: a round trip of the furthest caller. */
const SHORTEST_MS = 50;

/** Longest time, in milliseconds. */
const LONGEST_MS = 5_000;

/** Random part, as a share of the time, so that a herd doesn't return together. */
const SPREAD_SHARE = 0.5;

const PERMILLE = 1_000;

/**
 * Milliseconds after which room is expected.
 * @param excess Requests that wait beyond the room there is.
 * @param drainMs Milliseconds that one place takes to get free.
 */
export function comeBackMs(
  excess: number,
  drainMs: number,
  random: RandomSource,
): number {
  const neededMs = Math.max(1, excess) * drainMs;
  const spread = (SPREAD_SHARE * random.nextBelow(PERMILLE)) / PERMILLE;
  const spreadMs = neededMs * (1 + spread);
  return Math.min(Math.max(spreadMs, SHORTEST_MS), LONGEST_MS);
}
