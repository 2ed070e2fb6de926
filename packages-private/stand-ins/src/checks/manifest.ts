/** An accepted manifest is in force everywhere in time and never reverts; of two racing ones, one wins. */

import {groupBy, type History, type HistoryEventOf} from '../history/index.js';
import type {CheckReport} from './check.js';

type Seen = HistoryEventOf<'revision-seen'>;
type Answered = HistoryEventOf<'submission-answered'>;

/** Time in which an accepted manifest must be in force at all entries. */
const LIMIT_MS = 7_000;

/** Faults during which an entry cannot hear of anything. */
const DEAFENING_FAULTS: ReadonlySet<string> = new Set(['freeze', 'isolate']);

/** Checks the revisions that entries said were in force against those accepted. */
export function checkManifest(history: History): CheckReport {
  const seen = history.of('revision-seen');
  const answered = history.of('submission-answered');
  return {
    events: seen.length + answered.length,
    trials: answered.length,
    violations: [
      ...findReversions(seen),
      ...findLate(history, seen, answered),
      ...findTwoWinners(answered),
      ...findUntoldLosers(answered),
    ],
  };
}

function findReversions(seen: readonly Seen[]): string[] {
  const violations: string[] = [];
  for (const [entry, samples] of groupBy(seen, sample => sample.entry)) {
    let highest = 0;
    for (const {revision, atMs} of samples) {
      if (revision !== null && revision > 0 && revision < highest) {
        violations.push(
          `${entry} went back from revision ${highest} to ${revision} at ${atMs.toFixed(0)} ms`,
        );
      }
      highest = Math.max(highest, revision ?? 0);
    }
  }
  return violations;
}

function findLate(
  history: History,
  seen: readonly Seen[],
  answered: readonly Answered[],
): string[] {
  const accepted = answered.filter(({answer}) => answer === 'accepted');
  return seen.flatMap(sample => {
    const {entry, revision, atMs} = sample;
    if (revision === null || revision === 0) {
      return [];
    }
    const deafUntilMs = findDeafUntil(history, entry, atMs);
    const due = accepted.filter(
      each => Math.max(each.atMs, deafUntilMs) + LIMIT_MS < atMs,
    );
    const wanted = Math.max(0, ...due.map(each => each.revision ?? 0));
    return revision >= wanted
      ? []
      : [
          `${entry} had revision ${revision} in force at ${atMs.toFixed(0)} ms, ${wanted} was due`,
        ];
  });
}

/** The end of the last fault that kept the entry from hearing of anything before `atMs`. */
function findDeafUntil(history: History, entry: string, atMs: number): number {
  const ends = history
    .of('fault')
    .filter(
      ({fault, target}) => target === entry && DEAFENING_FAULTS.has(fault),
    )
    .filter(event => event.atMs <= atMs);
  const last = ends.at(-1);
  return last === undefined ? 0 : last.phase === 'begin' ? atMs : last.atMs;
}

function findTwoWinners(answered: readonly Answered[]): string[] {
  const accepted = answered.filter(({answer}) => answer === 'accepted');
  const violations: string[] = [];
  for (const [revision, winners] of groupBy(accepted, each =>
    String(each.revision),
  )) {
    const names = new Set(winners.map(({submission}) => submission));
    if (names.size > 1) {
      violations.push(
        `revision ${revision} was accepted for ${[...names].join(' and ')}`,
      );
    }
  }
  const wrong = accepted.filter(each => each.revision !== each.basedOn + 1);
  return [
    ...violations,
    ...wrong.map(
      each =>
        `${each.submission}, based on ${each.basedOn}, was accepted as ${each.revision}`,
    ),
  ];
}

function findUntoldLosers(answered: readonly Answered[]): string[] {
  return answered
    .filter(({answer, revision}) => answer === 'refused' && revision === null)
    .map(
      ({submission}) =>
        `${submission} was refused without the present revision`,
    );
}
