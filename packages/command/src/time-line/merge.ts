/** Merging the time lines of several processes. */

import {compareStamps, type TimeLineEvent} from '@wasabidyke/shared';

/**
 * Merges time lines in causal order. Each must be in its own order already;
 * events of equal stamps, which no message connects, go by process.
 */
export function mergeTimeLines(
  timeLines: ReadonlyArray<readonly TimeLineEvent[]>,
): readonly TimeLineEvent[] {
  return timeLines.flat().toSorted(compareEvents);
}

function compareEvents(left: TimeLineEvent, right: TimeLineEvent): number {
  const stamps = compareStamps(left.stamp, right.stamp);
  return stamps === 0 ? compareText(left.process, right.process) : stamps;
}

function compareText(left: string, right: string): number {
  return left === right ? 0 : left < right ? -1 : 1;
}
