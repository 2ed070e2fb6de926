/** Writes the report of a run for a reader. */

import type {History, PromiseName} from '@wasabidyke/stand-ins';
import type {RunReport} from './runner.js';

/** Violations of each promise that are written out. */
const MAXIMUM_LINES = 20;

/** Writes a report. The last line is `violations: N`. */
export function formatReport(
  {history, reports}: RunReport,
  promises: readonly PromiseName[],
): string {
  const lines = [
    `events: ${history.events.length}`,
    `attempts: ${formatAttempts(history)}`,
  ];
  for (const promise of promises) {
    const {events = 0, violations = []} = reports.get(promise) ?? {};
    lines.push(
      `${promise}: ${events} events checked, ${violations.length} violations`,
      ...violations.slice(0, MAXIMUM_LINES).map(each => `  ${each}`),
    );
  }
  lines.push(...findVacuity(history));
  lines.push(`violations: ${countViolations({history, reports}, promises)}`);
  return lines.join('\n');
}

/** Violations of these promises; a run in which nothing was answered counts as one. */
export function countViolations(
  {history, reports}: RunReport,
  promises: readonly PromiseName[],
): number {
  const counts = promises.map(
    promise => reports.get(promise)?.violations.length ?? 0,
  );
  const sum = counts.reduce((total, count) => total + count, 0);
  return sum + findVacuity(history).length;
}

function findVacuity(history: History): readonly string[] {
  const isAnswered = history.of('attempt-ended').some(({run}) => run !== null);
  return isAnswered ? [] : ['  no request was answered by an upstream'];
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
