/** When a hedge is sent, and whether it can be answered in time. */

import type {RoutedRequest} from './routed-request.js';

/** A hedge is sent once the first attempt takes this many times its estimate. */
const HEDGE_DELAY_FACTOR = 1.6;

/** Shortest delay before a hedge, in milliseconds. */
const MINIMUM_HEDGE_DELAY_MS = 25;

/** Longest estimate of a hedge, as a share of the remaining time. */
const MAXIMUM_HEDGE_SHARE = 0.9;

/** Time after the first attempt until its hedge, in milliseconds. */
export function hedgeDelayMs(firstEstimateMs: number): number {
  return Math.max(MINIMUM_HEDGE_DELAY_MS, firstEstimateMs * HEDGE_DELAY_FACTOR);
}

/** Whether a hedge is expected within the target latency or, once that is over, before the deadline. */
export function isHedgeInTime(
  estimateMs: number,
  {arrivedAtMs, route, deadlineMs}: RoutedRequest,
  nowMs: number,
): boolean {
  const targetRemainingMs = arrivedAtMs + route.targetLatencyMs - nowMs;
  const remainingMs =
    targetRemainingMs > 0 ? targetRemainingMs : deadlineMs - nowMs;
  return estimateMs < remainingMs * MAXIMUM_HEDGE_SHARE;
}
