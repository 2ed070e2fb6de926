/** Watching load stays in its budget, as counted at the upstreams. */

import {SECOND_MS} from '@wasabidyke/shared';
import type {History, HistoryEventOf} from '../history/index.js';
import type {CheckReport} from './check.js';

type Read = HistoryEventOf<'load-read'>;
type Budget = HistoryEventOf<'budget-set'>;

/** Length of the windows over which reads are counted. */
const WINDOW_MS = 5_000;

/** A share may have saved up this much time's worth before a window. */
const BURST_MS = 1_000;

/** Time in which a changed budget comes into force. */
const SPREAD_MS = 7_000;

/** Checks every window that ends with a read. */
export function checkLoadWatch(history: History): CheckReport {
  const reads = history.of('load-read');
  const budgets = history.of('budget-set');
  const violations: string[] = [];
  let first = 0;
  let bytes = 0;
  for (const [last, read] of reads.entries()) {
    bytes += read.bytes;
    while (reads[first].atMs <= read.atMs - WINDOW_MS) {
      bytes -= reads[first].bytes;
      first += 1;
    }
    const fault = findExcess(read, last - first + 1, bytes, budgets);
    if (fault !== undefined) {
      violations.push(fault);
    }
  }
  return {
    events: reads.length + budgets.length,
    trials: reads.length,
    violations,
  };
}

function findExcess(
  read: Read,
  requests: number,
  bytes: number,
  budgets: readonly Budget[],
): string | undefined {
  const inForce = findInForce(read.atMs, budgets);
  const seconds = (WINDOW_MS + BURST_MS) / SECOND_MS;
  const mostRequests =
    seconds * Math.max(0, ...inForce.map(each => each.requestsPerSecond));
  const mostBytes =
    seconds * Math.max(0, ...inForce.map(each => each.bytesPerSecond));
  if (requests <= mostRequests && bytes <= mostBytes) {
    return undefined;
  }
  return `in the ${WINDOW_MS} ms to ${read.atMs.toFixed(0)} ms: ${requests} requests of ${mostRequests}, ${bytes} bytes of ${mostBytes}`;
}

/** Budgets that may have been in force at some entry during the window. */
function findInForce(
  endMs: number,
  budgets: readonly Budget[],
): readonly Budget[] {
  const startMs = endMs - WINDOW_MS - BURST_MS - SPREAD_MS;
  const started = budgets.filter(({atMs}) => atMs <= endMs);
  const replaced = started.filter(({atMs}) => atMs <= startMs);
  return started.slice(Math.max(0, replaced.length - 1));
}
