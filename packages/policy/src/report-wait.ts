/**
 * How long a request waits for load reports before an upstream is selected. A
 * wait that is shorter than the round trip costs its time and gains nothing:
 * the selection is made by old reports, or without any.
 */

/** Shortest wait, in milliseconds: several round trips within a region of short links. */
const MINIMUM_WAIT_MS = 8;

/** Longest wait, in milliseconds: a small part of the shortest target latencies, 150 ms. */
const MAXIMUM_WAIT_MS = 30;

/** Waited beyond the round trip, as a share of it: answers vary with the load of the link. */
const MARGIN_SHARE = 0.5;

/** Round trips until the first report of an upstream, whose connection has to be opened. */
const OPENING_ROUND_TRIPS = 2;

/** What is known of the upstreams that are asked for their load. */
export interface ReportWaitQuery {
  /** Longest estimated round trip to them, in milliseconds. */
  readonly roundTripMs: number;
  /** Whether any of them has reported its load to this entry before. */
  readonly hasReports: boolean;
}

/** Returns the longest wait for load reports from upstreams of this region, in milliseconds. */
export function reportWaitMs({
  roundTripMs,
  hasReports,
}: ReportWaitQuery): number {
  const roundTrips = hasReports ? 1 : OPENING_ROUND_TRIPS;
  const waitMs = roundTripMs * (roundTrips + MARGIN_SHARE);
  return Math.min(Math.max(waitMs, MINIMUM_WAIT_MS), MAXIMUM_WAIT_MS);
}
