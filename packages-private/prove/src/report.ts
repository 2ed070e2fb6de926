/** Writes the report of a run for a reader. */

import type {History, PromiseName} from '@wasabidyke/stand-ins';
import type {RunReport} from './runner.js';

/** Violations of each promise that are written out. */
const MAXIMUM_LINES = 20;

/** Writes a report on these promises. The last line is `violations: N`. */
export function formatReport(
  report: RunReport,
  promises: readonly PromiseName[],
): string {
  const {history} = report;
  const lines = [
    `events: ${history.events.length}`,
    `attempts: ${formatAttempts(history)}`,
    ...promises.flatMap(promise => formatPromise(report, promise)),
    ...findVacuity(report, promises),
    `violations: ${countViolations(report, promises)}`,
  ];
  return lines.join('\n');
}

/** Violations of these promises; a run that put nothing to the test counts as one. */
export function countViolations(
  report: RunReport,
  promises: readonly PromiseName[],
): number {
  const counts = promises.map(
    promise => report.reports.get(promise)?.violations.length ?? 0,
  );
  const sum = counts.reduce((total, count) => total + count, 0);
  return sum + findVacuity(report, promises).length;
}

function formatPromise({reports}: RunReport, promise: PromiseName): string[] {
  const {events = 0, trials = 0, violations = []} = reports.get(promise) ?? {};
  const line = `${promise}: ${events} events checked, ${trials} of them trials, ${violations.length} violations`;
  return [line, ...violations.slice(0, MAXIMUM_LINES).map(each => `  ${each}`)];
}

/** A run proves nothing where nothing was answered, or its one promise was not tried. */
function findVacuity(
  {history, reports}: RunReport,
  promises: readonly PromiseName[],
): readonly string[] {
  const [promise] = promises;
  const isAnswered = history.of('attempt-ended').some(({run}) => run !== null);
  const isTried =
    promises.length > 1 || (reports.get(promise)?.trials ?? 0) > 0;
  return [
    ...(isAnswered ? [] : ['  no request was answered by an upstream']),
    ...(isTried ? [] : [`  nothing put ${promise} to the test`]),
  ];
}

function formatAttempts(history: History): string {
  const counts = new Map<string, number>();
  for (const {end, outcome, status} of history.of('attempt-ended')) {
    const told = outcome ?? (status === null ? '' : String(status));
    const name = `${end} ${told}`.trim();
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const parts = [...counts].map(([name, count]) => `${name} ${count}`);
  return parts.toSorted().join(', ');
}
