/**
 * Expected loss of sending a request to an upstream, as a share of the value of
 * an answer in time: by lateness, failure, and traffic on paid links. The
 * upstream with the smallest loss is selected, so that a distant one is used as
 * soon as near ones would answer late, and no sooner.
 */

import type {Distance} from './upstream-load.js';

/** Costs of one megabyte, in units of the value of an answer in time. */
export interface TransferCosts {
  /** Between availability zones of one region. */
  readonly crossZonePerMegabyte: number;
  readonly crossRegionPerMegabyte: number;
}

/** Options of `expectedLoss`. */
export interface ExpectedLossOptions {
  /** Estimated milliseconds until the answer, if the request is sent now. */
  readonly estimateMs: number;
  /** Remaining milliseconds until the target latency, after which an answer loses most of its value. */
  readonly targetRemainingMs: number;
  /** Remaining milliseconds until the deadline. */
  readonly remainingMs: number;
  readonly failureShare: number;
  readonly distance: Distance;
  /** Bytes of the request and of its usual answer together. */
  readonly bytes: number;
  readonly costs: TransferCosts;
}

/** An estimate below this share of the time remaining until the target is hardly ever late. */
const SAFE_ESTIMATE_SHARE = 0.3;

/** Loss of an estimate that takes all of the time remaining until the target. */
const LOSS_AT_TARGET = 0.6;

/** Value of an answer after its target latency, as a share of that of an answer in time. */
const LATE_VALUE = 0.1;

/** Additional loss of a late request, for an estimate that takes all of the time remaining until the deadline. */
const WAIT_LOSS = 0.02;

/** Loss of a request whose answer isn't expected before its deadline. */
const TIMEOUT_LOSS = 2;

const BYTES_PER_MEGABYTE = 1_000_000;

/** Minimum difference between the loss in this region and the failure share of others at which these are queried for their load, which costs a round trip. */
const OTHER_REGION_LOSS_MARGIN = 0.25;

/**
 * Whether upstreams of other regions are worth querying for their load. This
 * gains less if requests fail there as well, such as when a whole service sheds.
 * @param loss Smallest expected loss in this region.
 * @param otherRegionFailureShare Expected failure share in other regions, from 0 to 1.
 */
export function isOtherRegionWorthQuerying(
  loss: number,
  otherRegionFailureShare: number,
): boolean {
  return loss >= OTHER_REGION_LOSS_MARGIN + otherRegionFailureShare;
}

/** Computes the expected loss; 0 stands for a certain answer in time over a free link. */
export function expectedLoss(query: ExpectedLossOptions): number {
  const {failureShare} = query;
  const lateness = latenessLoss(query);
  const failure = failureShare * (1 - Math.min(lateness, 1));
  return lateness + failure + transferLoss(query);
}

function latenessLoss({
  estimateMs,
  targetRemainingMs,
  remainingMs,
}: ExpectedLossOptions): number {
  if (estimateMs > remainingMs) {
    return TIMEOUT_LOSS + (estimateMs - remainingMs) / Math.max(remainingMs, 1);
  }
  if (targetRemainingMs <= 0 || estimateMs > 2 * targetRemainingMs) {
    return 1 - LATE_VALUE + WAIT_LOSS * (estimateMs / Math.max(remainingMs, 1));
  }
  const share = estimateMs / targetRemainingMs;
  if (share <= SAFE_ESTIMATE_SHARE) {
    return SAFE_SLOPE * share;
  }
  const excess = (share - SAFE_ESTIMATE_SHARE) / (1 - SAFE_ESTIMATE_SHARE);
  const loss = LOSS_AT_TARGET * excess * excess + SAFE_SLOPE * share;
  return Math.min(loss, 1 - LATE_VALUE);
}

/** Slope of the loss, also below the safe share, so that a shorter estimate breaks ties. */
const SAFE_SLOPE = 0.03;

function transferLoss({distance, bytes, costs}: ExpectedLossOptions): number {
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
