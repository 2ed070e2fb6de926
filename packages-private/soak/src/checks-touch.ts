/** Whether an entry had the means to know of a change. */

import type {History} from './history.js';

/** Time without a disturbance before a change, in milliseconds, after which its bound holds. Source: the rules. */
export const STABLE_WINDOW_MS = 3_000;

/** Whether the entry and the store were left alone long enough before a change and until its effect. */
export function isInTouch(
  history: History,
  entry: string,
  changedAtMs: number,
  atMs: number,
): boolean {
  const from = changedAtMs - STABLE_WINDOW_MS;
  return (
    history.isCalm(entry, from, atMs) &&
    history.isCalm('store', from, atMs) &&
    !history.starts.some(
      start => start.entry === entry && start.atMs > from && start.atMs < atMs,
    )
  );
}
