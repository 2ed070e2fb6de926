/** A planned stop is a graceful shutdown: nothing is cut off, no caller of a fresh list refused. */

import type {History, HistoryEventOf} from '../history/index.js';
import type {CheckReport} from './check.js';

type Sent = HistoryEventOf<'attempt-sent'>;
type Ended = HistoryEventOf<'attempt-ended'>;
type Stop = HistoryEventOf<'stop'>;

/** Faults that excuse what they do to the process that they hit. */
const EXCUSING_FAULTS: ReadonlySet<string> = new Set(['kill', 'freeze']);

/** Checks what callers saw of each process that was asked to stop. */
export function checkPlannedStop(history: History): CheckReport {
  const sent = new Map(
    history.of('attempt-sent').map(event => [toAttempt(event), event]),
  );
  const asked = history.of('stop').filter(({phase}) => phase === 'asked');
  const excused = new Set(
    history
      .of('fault')
      .filter(({fault}) => EXCUSING_FAULTS.has(fault))
      .map(({target}) => target),
  );
  const violations: string[] = [];
  let events = 0;
  let trials = 0;
  for (const stop of asked.filter(({target}) => !excused.has(target))) {
    const touched = findTouched(history, stop, sent, excused);
    events += touched.length + 1;
    trials += touched.length;
    violations.push(...findBadEnd(history, stop));
    for (const ended of touched) {
      const fault = findFault(ended, sent.get(toAttempt(ended)), stop);
      if (fault !== undefined) {
        violations.push(`${toAttempt(ended)} at ${stop.target}: ${fault}`);
      }
    }
  }
  return {events, trials, violations};
}

/** Attempts that ended after the stop was asked for, at the entry or by the upstream that stops. */
function findTouched(
  history: History,
  stop: Stop,
  sent: ReadonlyMap<string, Sent>,
  excused: ReadonlySet<string>,
): readonly Ended[] {
  const requests = new Set(
    history
      .of('work-received')
      .filter(({worker}) => worker === stop.target)
      .map(({request}) => request),
  );
  return history.of('attempt-ended').filter(ended => {
    const isThere =
      ended.entry === stop.target ||
      (requests.has(ended.request) && !excused.has(ended.entry));
    const isKnown = sent.has(toAttempt(ended));
    return isThere && isKnown && ended.atMs >= stop.atMs;
  });
}

function findFault(
  ended: Ended,
  sent: Sent | undefined,
  stop: Stop,
): string | undefined {
  if (ended.end === 'broken') {
    return 'cut off';
  }
  const isListFresh = sent?.isListFresh ?? false;
  const isAtEntry = ended.entry === stop.target;
  if (ended.end === 'refused' && isListFresh && isAtEntry) {
    return 'connection refused although the list was fresh';
  }
  if (ended.reason === 'draining' && isListFresh && isAtEntry) {
    return 'refused as draining although the list was fresh';
  }
  return undefined;
}

function findBadEnd(history: History, asked: Stop): string[] {
  const ended = history
    .of('stop')
    .find(
      ({target, phase, atMs}) =>
        target === asked.target && phase === 'ended' && atMs >= asked.atMs,
    );
  if (ended === undefined) {
    return [`${asked.target} did not end after it was asked to stop`];
  }
  return ended.status === 0
    ? []
    : [`${asked.target} ended with status ${ended.status}`];
}

function toAttempt(event: Sent | Ended): string {
  return `${event.service} ${event.request} attempt ${event.attempt}`;
}
