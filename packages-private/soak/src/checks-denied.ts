/** Whether proper requests are turned away as if they were wrong. */

import {BOUNDS} from './checks.js';
import {isInTouch, STABLE_WINDOW_MS} from './checks-touch.js';
import type {CallRecord, History} from './history.js';
import {allows} from './routes.js';

/** Statuses that promise that nothing was run. Source: the rules. */
const PROMISES = [408, 421, 429];

/** Judged by `unauthorized`. */
const UNAUTHORIZED_STATUS = 401;

/** Requests that were ended with a 3xx or 4xx of an entry's own, though every configuration that may be in force allows them. */
export function checkDenied(history: History): string[] {
  const {calls, configurations} = history;
  // No process goes back from a version that was in force there.
  const floors = new Map<string, number>();
  return [...calls]
    .sort((left, right) => left.sentAtMs - right.sentAtMs)
    .flatMap(call => {
      const {id, path, entry, status, sentAtMs, endedAtMs = sentAtMs} = call;
      const life = `${entry} ${countStarts(history, call)}`;
      const floor = Math.max(
        floors.get(life) ?? 0,
        settledVersion(history, call),
      );
      floors.set(life, floor);
      if (!isDenied(call)) {
        return [];
      }
      const possible = configurations.filter(
        ({version, atMs}) => version >= floor && atMs <= endedAtMs,
      );
      const isWrong =
        possible.length > 0 && possible.every(other => allows(other, call));
      return isWrong
        ? [
            `${id} ${path} was answered ${status} by ${entry}, allowed by versions ${possible[0].version} to ${possible.at(-1)?.version}`,
          ]
        : [];
    });
}

function isDenied({status = 0, worker}: CallRecord): boolean {
  return (
    worker === undefined &&
    status >= 300 &&
    status < 500 &&
    status !== UNAUTHORIZED_STATUS &&
    !PROMISES.includes(status)
  );
}

function countStarts({starts}: History, {entry, sentAtMs}: CallRecord): number {
  return starts.filter(
    ({address, atMs}) => address === entry && atMs <= sentAtMs,
  ).length;
}

/** The oldest version that may be in force at the entry of a call; 0 if the entry wasn't in touch for as long as the bound. */
function settledVersion(
  history: History,
  {entry, sentAtMs, endedAtMs = sentAtMs}: CallRecord,
): number {
  const sinceMs = sentAtMs - BOUNDS.configApplyMs;
  const isKnown =
    isInTouch(history, entry, sinceMs, endedAtMs) &&
    !isStarted(history, entry, sinceMs, endedAtMs);
  const settled = isKnown
    ? history.configurations.findLast(({atMs}) => atMs <= sinceMs)
    : undefined;
  return settled?.version ?? 0;
}

/** Whether a process of the entry was started so late that it may not know of a change. */
function isStarted(
  {starts}: History,
  entry: string,
  changedAtMs: number,
  atMs: number,
): boolean {
  return starts.some(
    ({address, atMs: startedAtMs}) =>
      address === entry &&
      startedAtMs > changedAtMs - STABLE_WINDOW_MS &&
      startedAtMs < atMs,
  );
}
