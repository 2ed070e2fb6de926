/** A leaving upstream gets no new work once its departure was known for a while. */

import {groupBy, type History} from '../history/index.js';
import type {CheckReport} from './check.js';

/** Time in which a departure that any entry knows must hold at all. */
const LIMIT_MS = 3_000;

/** Checks that no worker received work later than the limit after its departure was known. */
export function checkLeavingUpstream(history: History): CheckReport {
  const told = history.of('leaving-told');
  const received = groupBy(history.of('work-received'), ({worker}) => worker);
  const violations: string[] = [];
  let events = told.length;
  for (const {worker, way, atMs} of told) {
    const work = received.get(worker) ?? [];
    const knownAtMs =
      way === 'signal' ? findFirstAnswer(history, worker, atMs) : atMs;
    const untilMs =
      way === 'signal' ? findEndOfProcess(history, worker, atMs) : Infinity;
    const late = work.filter(
      event => event.atMs > knownAtMs + LIMIT_MS && event.atMs < untilMs,
    );
    events += work.length;
    if (late.length > 0) {
      const lastMs = (late.at(-1)?.atMs ?? 0) - knownAtMs;
      violations.push(
        `${worker}, known to leave by ${way}, received ${late.length} requests later than ${LIMIT_MS} ms, the last after ${lastMs.toFixed(0)} ms`,
      );
    }
  }
  return {events, trials: told.length, violations};
}

/** A worker's own signal is known once it has answered with it. */
function findFirstAnswer(
  history: History,
  worker: string,
  fromMs: number,
): number {
  const answers = [
    ...history.of('run-ended').filter(({end}) => end === 'answered'),
    ...history.of('work-shed'),
    ...history.of('load-read'),
  ];
  const times = answers
    .filter(event => event.worker === worker && event.atMs > fromMs)
    .map(({atMs}) => atMs);
  return Math.min(Infinity, ...times);
}

/** What a process said of itself does not bind the next one at its address. */
function findEndOfProcess(
  history: History,
  worker: string,
  fromMs: number,
): number {
  const crashes = history.of('crashed').filter(each => each.worker === worker);
  const kills = history
    .of('fault')
    .filter(({fault, target}) => fault === 'kill' && target === worker);
  const ends = [...crashes, ...kills].map(({atMs}) => atMs);
  return Math.min(Infinity, ...ends.filter(atMs => atMs > fromMs));
}
