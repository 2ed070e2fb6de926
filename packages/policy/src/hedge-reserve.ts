/** The part of the repeat budget that hedges leave to requests without any answer. */

/**
 * Returns the share of the repeat budget that hedges may not use, from 0 to 1:
 * the share that retries until the first success need if each attempt fails
 * with a probability of `failureShare`.
 * @param failureShare Expected share of failing attempts, from 0 to 1.
 * @param ratio Repeats per request that the budget allows.
 */
export function hedgeReserve(failureShare: number, ratio: number): number {
  const repeatsNeeded = failureShare / (1 - failureShare);
  return Math.min(1, repeatsNeeded / ratio);
}
