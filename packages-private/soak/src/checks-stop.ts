/** Checks of what a stopping entry takes. */

import type {ArrivalRecord, CallRecord, History} from './history.js';

/** A long order that a stopping entry has passed on is answered by its worker. */
export function checkUnfinished(history: History): string[] {
  const {calls, arrivals} = history;
  return calls
    .filter(({isLong, status}) => isLong === true && status !== 200)
    .flatMap(call => {
      const run = arrivals.find(({id, hasRun}) => id === call.id && hasRun);
      return run !== undefined && isSound(history, call, run)
        ? [`${call.id} was at work and answered ${call.status}`]
        : [];
    });
}

/** Whether nothing but the stop disturbed the order. */
function isSound(
  history: History,
  {entry, sentAtMs, endedAtMs = Infinity}: CallRecord,
  {worker}: ArrivalRecord,
): boolean {
  const {disturbances, leavings} = history;
  const isDisturbed = disturbances.some(
    ({subject, isPlanned, fromMs, toMs}) =>
      (subject === worker || (subject === entry && !isPlanned)) &&
      fromMs <= endedAtMs &&
      toMs >= sentAtMs,
  );
  const isLeaving = leavings.some(
    left => left.worker === worker && left.atMs <= endedAtMs,
  );
  return !isDisturbed && !isLeaving;
}
