/** Whether workers that name a limit get more, judged from what they and callers saw. */

import type {
  ArrivalRecord,
  CallRecord,
  History,
  NamedLimit,
} from './history.js';

/** Length of the windows in which requests are counted, in milliseconds, and what is allowed in one. Source: the rules of the users' platform. */
const WINDOW_MS = 4_000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_REQUESTS = 5;

/** Time from the first answer with the limit until it binds, and from an entry's own first one, in milliseconds. Source: `stable_window` and the rules. */
const BINDING_MS = 3_000;
const TOLD_MS = 500;

/** Workers that got more in some window than their limit allows, from entries that they had told. */
export function checkLimit(history: History): string[] {
  const calls = new Map(history.calls.map(call => [call.id, call]));
  return history.limits.flatMap(limit => {
    const timesMs = history.arrivals
      .filter(({worker}) => worker === limit.worker)
      .filter(arrival => counts(history, calls, limit, arrival))
      .map(({atMs}) => atMs);
    const most = findMost(timesMs);
    const seconds = WINDOW_MS / 1_000;
    const allowed =
      ALLOWED_FACTOR * limit.requestsPerSecond * seconds + ALLOWED_REQUESTS;
    return most > allowed
      ? [
          `${limit.worker} with a limit of ${limit.requestsPerSecond} a second got ${most} requests in ${seconds} s`,
        ]
      : [];
  });
}

/** Whether an arrival counts: the limit binds, and its entry was told and has run undisturbed since. */
function counts(
  history: History,
  calls: ReadonlyMap<string, CallRecord>,
  {worker, fromMs, toMs}: NamedLimit,
  {id, atMs}: ArrivalRecord,
): boolean {
  const entry = calls.get(id)?.entry;
  if (entry === undefined || atMs < fromMs + BINDING_MS || atMs > toMs) {
    return false;
  }
  const told = history.calls.find(
    call =>
      call.entry === entry &&
      call.worker === worker &&
      (call.endedAtMs ?? Infinity) > fromMs &&
      (call.endedAtMs ?? Infinity) < atMs - TOLD_MS,
  );
  return (
    told?.endedAtMs !== undefined && history.isCalm(entry, told.endedAtMs, atMs)
  );
}

function findMost(timesMs: readonly number[]): number {
  let most = 0;
  let first = 0;
  timesMs.forEach((atMs, index) => {
    while (timesMs[first] <= atMs - WINDOW_MS) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}
