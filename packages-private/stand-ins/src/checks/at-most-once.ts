/** At most once: no key has two runs, and all its answers come from the same one. */

import {groupBy, type History, type HistoryEventOf} from '../history/index.js';
import type {CheckReport} from './check.js';

/** Checks that each key of an at-most-once request ran at most once. */
export function checkAtMostOnce(history: History): CheckReport {
  const sent = history.of('attempt-sent').filter(isAtMostOnce);
  const keys = new Set(sent.map(toKey));
  const began = history.of('run-began').filter(event => keys.has(toKey(event)));
  const ended = history
    .of('attempt-ended')
    .filter(event => keys.has(toKey(event)));
  return {
    events: sent.length + began.length + ended.length,
    trials: sent.filter(({attempt}) => attempt > 1).length,
    violations: [...findSecondRuns(began), ...findOtherAnswers(ended)],
  };
}

function findSecondRuns(
  began: ReadonlyArray<HistoryEventOf<'run-began'>>,
): string[] {
  const violations: string[] = [];
  for (const [key, runs] of groupBy(began, toKey)) {
    if (runs.length > 1) {
      const where = runs.map(run => `${run.worker} at ${format(run.atMs)}`);
      violations.push(`${key} ran ${runs.length} times: ${where.join(', ')}`);
    }
  }
  return violations;
}

function findOtherAnswers(
  ended: ReadonlyArray<HistoryEventOf<'attempt-ended'>>,
): string[] {
  const violations: string[] = [];
  const answered = ended.filter(event => event.run !== null);
  for (const [key, answers] of groupBy(answered, toKey)) {
    const distinct = new Set(answers.map(answer => answer.answerDigest));
    if (distinct.size > 1) {
      violations.push(`${key} was given ${distinct.size} different answers`);
    }
  }
  return violations;
}

function isAtMostOnce(event: HistoryEventOf<'attempt-sent'>): boolean {
  return event.rule === 'at-most-once';
}

function toKey(event: {service?: string; key: string | null}): string {
  return `${event.service} ${event.key}`;
}

function format(atMs: number): string {
  return `${atMs.toFixed(1)} ms`;
}
