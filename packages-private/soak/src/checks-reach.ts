/** Whether entries that are cut off serve their callers. */

import type {CallRecord, Cut, History} from './history.js';

/** Time after the start of a cut from which on first tries count, in milliseconds. Source: `stable_window`. */
const CUT_OFF_AFTER_MS = 3_000;

/** Share of what others serve that an entry must serve at least, and failures that are allowed all the same. Source: the rules. */
const SERVED_SHARE = 2 / 3;
const ALLOWED_FAILURES = 10;
const ALLOWED_SHARE = 1 / 50;

/** Cuts in which entries served far fewer first tries than those that were not cut. */
export function checkReach(history: History): string[] {
  const windows = new Set(history.cuts.map(({fromMs}) => fromMs));
  return [...windows].flatMap(fromMs => {
    const cuts = history.cuts.filter(cut => cut.fromMs === fromMs);
    const calls = history.calls.filter(call => isFirstTry(call, cuts[0]));
    const cut = calls.filter(call => isCutOff(history, cuts, call));
    const others = calls.filter(call => isSound(history, call));
    const failed = cut.filter(({status}) => status !== 200).length;
    const allowed = ALLOWED_FAILURES + calls.length * ALLOWED_SHARE;
    const isWorse = shareServed(cut) < SERVED_SHARE * shareServed(others);
    return others.length > 0 && isWorse && failed > allowed
      ? [
          `entries that were cut off served ${cut.length - failed} of ${cut.length} first tries, the others ${others.length * shareServed(others)} of ${others.length}`,
        ]
      : [];
  });
}

function isFirstTry(call: CallRecord, {fromMs, toMs}: Cut): boolean {
  const {sentAtMs, endedAtMs, leftAtMs, isCrashing, isRevocable, isSurging} =
    call;
  return (
    sentAtMs > fromMs + CUT_OFF_AFTER_MS &&
    (endedAtMs ?? Infinity) < toMs &&
    leftAtMs === undefined &&
    isCrashing === undefined &&
    isRevocable === undefined &&
    isSurging === undefined &&
    call.isLate === undefined &&
    call.isProbe === undefined
  );
}

/** Whether the entry of a call was cut off and otherwise left alone. */
function isCutOff(
  history: History,
  cuts: readonly Cut[],
  {entry, sentAtMs}: CallRecord,
): boolean {
  const cut = cuts.find(other => other.entry === entry);
  return (
    cut !== undefined && isUndisturbed(history, entry, cut.fromMs, sentAtMs)
  );
}

/** Whether the entry of a call was neither cut off nor disturbed. */
function isSound(history: History, {entry, sentAtMs}: CallRecord): boolean {
  const fromMs = sentAtMs - CUT_OFF_AFTER_MS;
  const isCut = history.cuts.some(
    cut => cut.entry === entry && cut.fromMs < sentAtMs && cut.toMs > fromMs,
  );
  return !isCut && isUndisturbed(history, entry, fromMs, sentAtMs);
}

/** Whether an entry ran without a kill, a stop, a start or a pause. */
export function isUndisturbed(
  {disturbances, starts}: History,
  entry: string,
  fromMs: number,
  toMs: number,
): boolean {
  const isDisturbed = disturbances.some(
    other =>
      other.subject === entry &&
      !other.what.startsWith('entry-store') &&
      other.fromMs < toMs &&
      other.toMs > fromMs - CUT_OFF_AFTER_MS,
  );
  const isStarted = starts.some(
    ({address, atMs}) => address === entry && atMs > fromMs && atMs < toMs,
  );
  return !isDisturbed && !isStarted;
}

function shareServed(calls: readonly CallRecord[]): number {
  const served = calls.filter(({status}) => status === 200).length;
  return calls.length === 0 ? 1 : served / calls.length;
}
