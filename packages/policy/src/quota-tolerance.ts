/** How far the requests of an account may exceed its quota, and what that tolerance is used for. */

import {SECOND_MS} from '@wasabidyke/shared';

/** Quota of a client account over all entries. */
export interface Quota {
  readonly requestsPerSecond: number;
  /** Requests beyond the rate that may follow each other at once. */
  readonly burst: number;
}

/** By how much all entries together may exceed a quota in any window. */
export interface QuotaTolerance {
  readonly windowMs: number;
  /** Share of the requests that the quota allows in a window. */
  readonly overshoot: number;
  /** Requests per window. */
  readonly slack: number;
}

/** Tolerance unless the settings name another one. Source: the bounds of the platform. */
export const DEFAULT_QUOTA_TOLERANCE: QuotaTolerance = {
  windowMs: 5_000,
  overshoot: 0.1,
  slack: 20,
};

/** Share of the tolerance for entries that get no answer; all of them together stay within it. Source: with 116 entries, half of it gives an entry a request every few minutes as well, and the granting entries need it. */
const RESERVE_SHARE = 0.1;

/** Share of the tolerance that enlarges the bursts of the regions: a region has only its part of the burst, but as much chance as the whole. */
const BURST_SHARE = 0.5;

/** Share of the tolerance that each entry may grant without the right to it. Two may do so in a window: when the granting entry is lost, and when the one that stands in is lost as well. The shares add up to more than the whole then; each of these changes leaves the rate ungranted for a while. */
const DOUBT_SHARE = 0.26;

function tolerated(quota: Quota, tolerance: QuotaTolerance): number {
  return (
    quotaPerWindow(quota, tolerance) * tolerance.overshoot + tolerance.slack
  );
}

/** Requests that a quota allows in one window. */
export function quotaPerWindow(
  {requestsPerSecond, burst}: Quota,
  {windowMs}: QuotaTolerance,
): number {
  return (requestsPerSecond * windowMs) / SECOND_MS + burst;
}

/** Requests that all entries together may let through in any window. */
export function quotaBound(quota: Quota, tolerance: QuotaTolerance): number {
  return quotaPerWindow(quota, tolerance) + tolerated(quota, tolerance);
}

/** Requests per window that entries without an answer may let through, all together. */
export function reservePerWindow(
  quota: Quota,
  tolerance: QuotaTolerance,
): number {
  return tolerated(quota, tolerance) * RESERVE_SHARE;
}

/** Tokens by which the bursts of all regions together exceed the burst of the quota. */
export function extraBurst(quota: Quota, tolerance: QuotaTolerance): number {
  return tolerated(quota, tolerance) * BURST_SHARE;
}

/** Requests per window that one entry in each region may grant without the right to it, all together. */
export function doubtPerWindow(
  quota: Quota,
  tolerance: QuotaTolerance,
): number {
  return tolerated(quota, tolerance) * DOUBT_SHARE;
}
