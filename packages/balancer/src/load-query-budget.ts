/** The budget for load queries of this entry. */

import {TokenBucket} from '@wasabidyke/policy';

/** Burst of load queries that may accumulate, in milliseconds at the allowed rate. */
const LOAD_QUERY_BURST_MS = 2_000;

/** Creates the budget; it holds nothing until its rate is known. */
export function createLoadQueryBudget(nowMs: number): TokenBucket {
  return new TokenBucket({
    ratePerSecond: 0,
    capacityMs: LOAD_QUERY_BURST_MS,
    minimumCapacity: 1,
    nowMs,
  });
}
