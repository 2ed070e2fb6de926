/** Whether requests run on valid keys alone, and whether valid keys are accepted. */

import type {KeyRecord} from './accounts.js';
import {BOUNDS} from './checks.js';
import {isInTouch} from './checks-touch.js';
import type {CallRecord, History} from './history.js';

const UNAUTHORIZED_STATUS = 401;

/** Requests that ran long after their key was revoked, that ran on another account, or whose key reached a worker. */
export function checkKeys(history: History): string[] {
  const calls = new Map(history.calls.map(call => [call.id, call]));
  const keys = indexKeys(history);
  return history.arrivals.flatMap(arrival => {
    const {id, worker, atMs, hasRun, hasKey, account} = arrival;
    if (hasKey === true) {
      return [`${worker} got the key of ${id}`];
    }
    const call = calls.get(id);
    const key = keys.get(call?.key ?? '');
    if (!hasRun || call === undefined || key === undefined) {
      return [];
    }
    if (account !== key.account) {
      return [`${id} of ${key.account} ran as one of ${account}`];
    }
    const {revokedAtMs = Infinity} = key;
    const isLate =
      atMs > revokedAtMs + BOUNDS.keyMs &&
      isInTouch(history, call.entry, sinceOf(revokedAtMs, atMs), atMs);
    return isLate
      ? [
          `${id} ran ${Math.round(atMs - revokedAtMs)} ms after its key was revoked`,
        ]
      : [];
  });
}

/** Requests that were answered 401 though their key was valid and known for long enough. */
export function checkUnauthorized(history: History): string[] {
  const keys = indexKeys(history);
  return history.calls
    .filter(call => isWronglyRefused(history, call, keys.get(call.key ?? '')))
    .map(
      ({id, entry, key}) => `${id} with ${key} was answered 401 by ${entry}`,
    );
}

function isWronglyRefused(
  history: History,
  {status, entry, sentAtMs, endedAtMs = sentAtMs}: CallRecord,
  key: KeyRecord | undefined,
): boolean {
  if (status !== UNAUTHORIZED_STATUS || key === undefined) {
    return false;
  }
  const {fromMs, revokedAtMs = Infinity} = key;
  const isValid = endedAtMs < revokedAtMs;
  // A key that all configurations hold is never refused, whatever is disturbed.
  const isFromStart = fromMs <= (history.configurations[0]?.atMs ?? Infinity);
  const isKnown =
    sentAtMs > fromMs + BOUNDS.keyMs &&
    isInTouch(history, entry, sinceOf(fromMs, sentAtMs), sentAtMs);
  return isValid && (isFromStart || isKnown);
}

/** Whatever was disturbed, a change is in force once all has been calm for its bound. */
function sinceOf(changedAtMs: number, atMs: number): number {
  return Math.max(changedAtMs, atMs - BOUNDS.keyMs);
}

function indexKeys({keys}: History): ReadonlyMap<string, KeyRecord> {
  return new Map(keys.map(key => [key.key, key]));
}
