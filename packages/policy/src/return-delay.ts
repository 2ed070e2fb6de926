/** Time until a request that was refused in an overload should come back. */

import {SECOND_MS} from '@wasabidyke/shared';
import type {RandomSource} from './selection.js';

/** Maximum time until a refused request should come back, in milliseconds. */
const MAXIMUM_RETURN_MS = 5 * SECOND_MS;

/** Bounds of the random factor that spreads the returns. */
const MINIMUM_SPREAD = 0.5;
const MAXIMUM_SPREAD = 1.5;

const PERMILLE = 1_000;

/** Spreads the returns of callers around `delayMs`; returns milliseconds. */
export function spreadReturnMs(delayMs: number, random: RandomSource): number {
  const draw = random.nextBelow(PERMILLE) / PERMILLE;
  const spread = MINIMUM_SPREAD + (MAXIMUM_SPREAD - MINIMUM_SPREAD) * draw;
  return Math.min(delayMs * spread, MAXIMUM_RETURN_MS);
}
