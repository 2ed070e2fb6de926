/** Whether workers that ask for rest, or say that they leave, are left alone. */

import type {History} from './history.js';
import {isUndisturbed} from './checks-reach.js';

/** Time after which a rest binds, in milliseconds, and requests that are allowed in it. Source: the rules. */
const REST_BINDING_MS = 500;
const ALLOWED_IN_REST = 2;

/** Time after an answer that says that a worker leaves, in milliseconds. Source: `drain`. */
const LEFT_AFTER_MS = 2_500;

/** Requests that reached workers from entries that these had asked for rest. */
export function checkRest(history: History): string[] {
  return history.rests.flatMap(({worker, entry, fromMs, restMs}) => {
    const bindsAtMs = fromMs + REST_BINDING_MS;
    const endMs = fromMs + restMs;
    const late = history.arrivals.filter(
      arrival =>
        arrival.worker === worker &&
        arrival.sender === entry &&
        arrival.atMs > bindsAtMs &&
        arrival.atMs < endMs,
    );
    const isExcused =
      !isUndisturbed(history, entry, fromMs, endMs) ||
      isCutMeanwhile(history, entry, fromMs, endMs);
    return late.length > ALLOWED_IN_REST && !isExcused
      ? [`${worker} asked ${entry} for rest and got ${late.length} requests`]
      : [];
  });
}

/** Requests that reached workers from entries long after these had got an answer that says that they leave. */
export function checkLeft(history: History): string[] {
  return history.arrivals.flatMap(({id, worker, sender, atMs}) => {
    const told = history.leavingAnswers.find(
      answer =>
        answer.worker === worker &&
        answer.entry === sender &&
        !isCutMeanwhile(history, answer.entry, answer.atMs, answer.atMs),
    );
    const isLate =
      told !== undefined &&
      atMs > told.atMs + LEFT_AFTER_MS &&
      isUndisturbed(history, told.entry, told.atMs, atMs);
    return isLate ? [`${id} reached ${worker} after it said it leaves`] : [];
  });
}

function isCutMeanwhile(
  {cuts}: History,
  entry: string,
  fromMs: number,
  toMs: number,
): boolean {
  return cuts.some(
    cut => cut.entry === entry && cut.fromMs < toMs && cut.toMs > fromMs,
  );
}
