/** How much of the budget for repeats second attempts leave to requests that have no answer at all. */

/**
 * The share of the budget to keep from second attempts, from 0 to 1: what
 * repeats until the first success would take if each send fails as often.
 * @param failureShare Sends that are expected to fail.
 * @param ratio Repeats that the budget allows for each request.
 */
export function hedgeReserve(failureShare: number, ratio: number): number {
  const repeatsNeeded = failureShare / (1 - failureShare);
  return Math.min(1, repeatsNeeded / ratio);
}
