/** Whether all entries together kept to the quota of an account. */

import {
  DEFAULT_QUOTA_TOLERANCE,
  quotaBound,
  type Quota,
} from '@wasabidyke/policy';
import {SURGING_ACCOUNT, SURGING_QUOTA} from './accounts.js';
import type {History} from './history.js';

/** Windows in which more requests of an account were both sent and run than its quota allows; the worst one is told. */
export function checkQuota(history: History): string[] {
  return findExcess(history, SURGING_ACCOUNT, SURGING_QUOTA);
}

function findExcess(
  {calls, arrivals}: History,
  account: string,
  quota: Quota,
): string[] {
  const {windowMs} = DEFAULT_QUOTA_TOLERANCE;
  const sentAtMs = new Map(calls.map(call => [call.id, call.sentAtMs]));
  const runs = arrivals.filter(
    arrival => arrival.hasRun && arrival.account === account,
  );
  const counts = runs.map(({atMs: endMs}) => {
    const fromMs = endMs - windowMs;
    return runs.filter(
      ({id, atMs}) => atMs <= endMs && (sentAtMs.get(id) ?? 0) > fromMs,
    ).length;
  });
  const most = Math.max(0, ...counts);
  const bound = quotaBound(quota, DEFAULT_QUOTA_TOLERANCE);
  return most > bound
    ? [`${most} requests of ${account} ran in ${windowMs} ms, ${bound} may`]
    : [];
}
