/** Not run means not run: no run of a request of which the caller was told that it was not run. */

import {groupBy, type History, type HistoryEventOf} from '../history/index.js';
import type {CheckReport} from './check.js';

type Sent = HistoryEventOf<'attempt-sent'>;
type Ended = HistoryEventOf<'attempt-ended'>;
type Began = HistoryEventOf<'run-began'>;

interface RequestHistory {
  readonly sent: readonly Sent[];
  readonly ended: readonly Ended[];
  readonly began: readonly Began[];
}

/** Statuses that say that coming back helps. */
const COME_BACK_STATUSES: ReadonlySet<number | null> = new Set([429, 503]);

/** Checks each answer `not-run` against the runs of its request. */
export function checkNotRun(history: History): CheckReport {
  const sent = groupBy(history.of('attempt-sent'), toRequest);
  const ended = groupBy(history.of('attempt-ended'), toRequest);
  const began = groupBy(history.of('run-began'), toRequest);
  const violations: string[] = [];
  let events = 0;
  for (const [name, answers] of ended) {
    const request = {
      sent: sent.get(name) ?? [],
      ended: answers,
      began: began.get(name) ?? [],
    };
    events += request.sent.length + answers.length + request.began.length;
    violations.push(...findRunDespite(name, request));
  }
  const answers = history.of('attempt-ended');
  const trials = answers.filter(({outcome}) => outcome === 'not-run').length;
  return {
    events,
    trials,
    violations: [...violations, ...findEndless(answers)],
  };
}

function findRunDespite(name: string, request: RequestHistory): string[] {
  const told = request.ended.filter(({outcome}) => outcome === 'not-run');
  return told.flatMap(answer =>
    request.began
      .filter(run => contradicts(run, answer, request))
      .map(run => describe(name, answer, run)),
  );
}

/**
 * Whether a run contradicts an answer `not-run`. It does, unless another
 * attempt may have caused it: one that was under way together with the
 * answered attempt, or one that was sent after the answer. The resends of a
 * key are one request, so an attempt that had ended earlier is no excuse.
 */
function contradicts(
  run: Began,
  answer: Ended,
  request: RequestHistory,
): boolean {
  const others = request.sent.filter(
    ({attempt, atMs}) => attempt !== answer.attempt && atMs <= run.atMs,
  );
  if (answer.key === null) {
    return others.length === 0;
  }
  const own = request.sent.find(({attempt}) => attempt === answer.attempt);
  const neededUntilMs = Math.max(own?.atMs ?? 0, run.atMs);
  return !others.some(other => {
    const end = request.ended.find(({attempt}) => attempt === other.attempt);
    const isUnderWay = end === undefined || end.atMs >= neededUntilMs;
    return other.atMs > answer.atMs || isUnderWay;
  });
}

function findEndless(ended: readonly Ended[]): string[] {
  return ended
    .filter(
      ({outcome, status, retryAfterSeconds}) =>
        outcome === 'not-run' &&
        COME_BACK_STATUSES.has(status) &&
        retryAfterSeconds === null,
    )
    .map(
      ({request, attempt, status}) =>
        `${request} attempt ${attempt}: ${status} without Retry-After`,
    );
}

function describe(name: string, answer: Ended, run: Began): string {
  const told = `told not-run (${answer.reason}) at ${answer.atMs.toFixed(1)} ms`;
  const ran = `ran on ${run.worker} at ${run.atMs.toFixed(1)} ms`;
  return `${name} attempt ${answer.attempt}: ${told}, ${ran}`;
}

function toRequest(event: {service: string; request: string}): string {
  return `${event.service} ${event.request}`;
}
