/** Whether attempts can be answered in time, and when a hedge is sent. */

import type {WorkEstimate} from '@wasabidyke/policy';
import type {RoutedRequest} from './routed-request.js';
import type {SelectedUpstream} from './upstream-selector.js';

/** A hedge is sent once the first attempt takes this many times its estimate. */
const HEDGE_DELAY_FACTOR = 1.6;

/** Shortest delay before a hedge, in milliseconds. */
const MINIMUM_HEDGE_DELAY_MS = 25;

/** Longest estimate of a hedge, as a share of the remaining time. */
const MAXIMUM_HEDGE_SHARE = 0.9;

/**
 * Whether an attempt is expected to be answered before the deadline, or is a
 * trial of that estimate at an upstream where nothing waits.
 * @param trials Allows trials; undefined if none is allowed.
 */
export function isAttemptInTime(
  {estimateMs, freeSlots}: SelectedUpstream,
  {deadlineMs, route}: RoutedRequest,
  trials: WorkEstimate | undefined,
  nowMs: number,
): boolean {
  const remainingMs = deadlineMs - nowMs;
  if (estimateMs <= remainingMs) {
    return true;
  }
  const isTrialUseful = freeSlots > 0 && remainingMs >= route.targetLatencyMs;
  return isTrialUseful && trials?.takeTrial(nowMs) === true;
}

/**
 * Whether a request that has not run can be waited for until this process ends,
 * however long its work takes.
 */
export function canBeFinished(
  {ownDeadlineMs}: Pick<RoutedRequest, 'ownDeadlineMs'>,
  endsAtMs: number,
): boolean {
  return ownDeadlineMs <= endsAtMs;
}

/** Time after the first attempt until its hedge, in milliseconds. */
export function hedgeDelayMs(firstEstimateMs: number): number {
  return Math.max(MINIMUM_HEDGE_DELAY_MS, firstEstimateMs * HEDGE_DELAY_FACTOR);
}

/** Whether a hedge takes a free slot and is expected within the target latency or, once that is over, before the deadline. */
export function isHedgeInTime(
  {estimateMs, freeSlots}: SelectedUpstream,
  {arrivedAtMs, route, deadlineMs}: RoutedRequest,
  nowMs: number,
): boolean {
  const targetRemainingMs = arrivedAtMs + route.targetLatencyMs - nowMs;
  const remainingMs =
    targetRemainingMs > 0 ? targetRemainingMs : deadlineMs - nowMs;
  return freeSlots > 0 && estimateMs < remainingMs * MAXIMUM_HEDGE_SHARE;
}
