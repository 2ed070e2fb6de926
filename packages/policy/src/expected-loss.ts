/**
 * What sending a request to an upstream is expected to lose, as a share of
 * what an answer in time is worth: lateness, failure, and bytes on links that
 * are paid for. The smallest loss wins, so that a distant upstream is used as
 * soon as near ones would answer late, and no sooner.
 */

import type {Distance} from './upstream-load.js';

/** What one megabyte costs, in answers in time. */
export interface TransferCosts {
  /** Between availability zones of one region. */
  readonly crossZonePerMegabyte: number;
  readonly crossRegionPerMegabyte: number;
}

/** What is known of a request before it is sent. */
export interface LossQuery {
  /** Milliseconds until its answer, if it is sent there now. */
  readonly estimateMs: number;
  /** Milliseconds left until it no longer earns its full worth. */
  readonly targetLeftMs: number;
  /** Milliseconds left until nobody waits for it. */
  readonly leftMs: number;
  readonly failureShare: number;
  readonly distance: Distance;
  /** Bytes of the request and of its usual answer. */
  readonly bytes: number;
  readonly costs: TransferCosts;
}

/** An estimate below this share of the time left is hardly ever late. */
const SAFE_SHARE = 0.3;

/** Loss of an estimate that takes the whole time left. */
const LOSS_AT_TARGET = 0.6;

/** Worth of an answer after its target latency, as a share. */
const LATE_WORTH = 0.1;

/** How much a request that waits longer loses once it is late anyway, per multiple of the target. */
const LATER_LOSS = 0.02;

/** Loss of a request whose answer can't come before its deadline. */
const DEADLINE_LOSS = 2;

const BYTES_PER_MEGABYTE = 1_000_000;

/** Loss in this region beyond the failures of other ones from which on these are worth asking, which takes a round trip. */
const LEAVING_LOSS = 0.25;

/**
 * Whether upstreams of other regions are worth asking. Where requests fail
 * there as well, such as when a whole service sheds, going there gains less.
 * @param loss Least expected loss in this region.
 * @param farFailureShare Failures that are expected elsewhere.
 */
export function isWorthLeaving(loss: number, farFailureShare: number): boolean {
  return loss >= LEAVING_LOSS + farFailureShare;
}

/** The expected loss; 0 is a certain answer in time over a free link. */
export function expectedLoss(query: LossQuery): number {
  const {failureShare} = query;
  const late = latenessLoss(query);
  const failure = failureShare * (1 - Math.min(late, 1));
  return late + failure + transferLoss(query);
}

function latenessLoss({estimateMs, targetLeftMs, leftMs}: LossQuery): number {
  if (estimateMs > leftMs) {
    return DEADLINE_LOSS + (estimateMs - leftMs) / Math.max(leftMs, 1);
  }
  if (targetLeftMs <= 0 || estimateMs > 2 * targetLeftMs) {
    return 1 - LATE_WORTH + LATER_LOSS * (estimateMs / Math.max(leftMs, 1));
  }
  const share = estimateMs / targetLeftMs;
  if (share <= SAFE_SHARE) {
    return SAFE_SLOPE * share;
  }
  const over = (share - SAFE_SHARE) / (1 - SAFE_SHARE);
  const loss = LOSS_AT_TARGET * over * over + SAFE_SLOPE * share;
  return Math.min(loss, 1 - LATE_WORTH);
}

/** Below the safe share, a shorter estimate still breaks ties. */
const SAFE_SLOPE = 0.03;

function transferLoss({distance, bytes, costs}: LossQuery): number {
  const megabytes = bytes / BYTES_PER_MEGABYTE;
  switch (distance) {
    case 'same-zone':
      return 0;
    case 'same-region':
      return megabytes * costs.crossZonePerMegabyte;
    case 'other-region':
      return megabytes * costs.crossRegionPerMegabyte;
  }
}
