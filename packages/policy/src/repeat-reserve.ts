/** The part of the repeat budget that is kept for more urgent requests. */

/** Options of `repeatReserve`. */
export interface RepeatReserveOptions {
  /** Share of the requests that arrived lately that are more urgent, from 0 to 1. */
  readonly moreUrgentShare: number;
  /** Expected share of failing attempts, from 0 to 1. */
  readonly failureShare: number;
  /** Repeats per request that the budget allows. */
  readonly ratio: number;
  /** Whether the request can't be answered within its target latency any more. */
  readonly isLate: boolean;
}

/** Largest share that is kept: the rest lets less urgent requests survive a single failing upstream. */
const MAXIMUM_RESERVE = 0.8;

/** Failing share that is taken as the highest, so that the number of repeats until the first success stays finite. */
const MAXIMUM_FAILURE_SHARE = 0.9;

/**
 * Returns the share of the budget that a request leaves to others, from 0 to
 * 0.8: what the repeats of more urgent requests until their first success need.
 * A late one leaves as much while attempts fail, as its answer is worth little.
 */
export function repeatReserve(options: RepeatReserveOptions): number {
  const {moreUrgentShare, ratio, isLate} = options;
  const failureShare = Math.min(options.failureShare, MAXIMUM_FAILURE_SHARE);
  const repeatsNeeded = failureShare / (1 - failureShare);
  const share = isLate ? 1 : moreUrgentShare;
  const needed = share * repeatsNeeded;
  return needed === 0 || ratio === 0
    ? 0
    : Math.min(MAXIMUM_RESERVE, needed / ratio);
}

/**
 * Returns when a request that found no repeat left should come back, in
 * milliseconds: the time that an attempt takes to find a slot, once for each
 * attempt that is expected until the first success, and longer for the less
 * urgent.
 * @param slotDelayMs Expected time until a slot is free.
 */
export function repeatDelayMs(
  slotDelayMs: number,
  {
    moreUrgentShare,
    failureShare,
  }: Pick<RepeatReserveOptions, 'moreUrgentShare' | 'failureShare'>,
): number {
  const attempts = 1 / (1 - Math.min(failureShare, MAXIMUM_FAILURE_SHARE));
  return slotDelayMs * attempts * (1 + moreUrgentShare);
}
