/** Time after which a caller should retry a refused request. */

import type {RandomSource} from './selection.js';

/** Minimum time before jitter, in milliseconds: a round trip of a nearby caller that opens a new connection. */
const MINIMUM_WAIT_MS = 20;

/** Maximum time, jitter included, in milliseconds. */
const MAXIMUM_WAIT_MS = 5_000;

/** Maximum jitter, as a share of the time; it prevents callers from retrying all at once. */
const JITTER_SHARE = 0.5;

const PERMILLE = 1_000;

/**
 * Returns the milliseconds after which free capacity is expected.
 * @param excess Number of waiting requests beyond the free capacity; 0 or less
 * if a request was shed although there was free capacity.
 * @param drainMsPerRequest Mean milliseconds until a slot becomes free.
 */
export function retryAfterMs(
  excess: number,
  drainMsPerRequest: number,
  random: RandomSource,
): number {
  const waitMs = Math.max(
    Math.max(0, excess) * drainMsPerRequest,
    MINIMUM_WAIT_MS,
  );
  const jitter = (JITTER_SHARE * random.nextBelow(PERMILLE)) / PERMILLE;
  return Math.min(waitMs * (1 + jitter), MAXIMUM_WAIT_MS);
}
