/** Spans in which an entry must have learned of a change. */

import {BOUNDS} from './checks.js';
import type {History} from './history.js';

/** Whether the entry and the store were left alone long enough before a change and until its effect. */
export function isInTouch(
  history: History,
  entry: string,
  changedAtMs: number,
  atMs: number,
): boolean {
  const from = changedAtMs - BOUNDS.stableWindowMs;
  return (
    history.isCalm(entry, from, atMs) &&
    history.isCalm('store', from, atMs) &&
    !history.starts.some(
      start => start.entry === entry && start.atMs > from && start.atMs < atMs,
    )
  );
}
