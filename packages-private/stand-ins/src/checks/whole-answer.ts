/** The whole answer to its own request: digest and identity of each answer. */

import {groupBy, type History, type HistoryEventOf} from '../history/index.js';
import type {CheckReport} from './check.js';

type Ended = HistoryEventOf<'attempt-ended'>;
type Began = HistoryEventOf<'run-began'>;

const OK = 200;

/** Checks that each relayed answer is whole and belongs to its request. */
export function checkWholeAnswer(history: History): CheckReport {
  const sent = groupBy(history.of('attempt-sent'), ({request}) => request);
  const runs = new Map(
    history.of('run-began').map(event => [event.run, event]),
  );
  const answers = history.of('attempt-ended').filter(isRelayed);
  const violations = answers.flatMap(answer => {
    const attempts = sent.get(answer.request) ?? [];
    const digest = attempts.find(
      ({attempt}) => attempt === answer.attempt,
    )?.requestDigest;
    const fault = findFault(answer, runs.get(answer.run ?? ''), digest);
    const name = `${answer.service} ${answer.request} attempt ${answer.attempt}`;
    return fault === undefined ? [] : [`${name}: ${fault}`];
  });
  return {events: answers.length, trials: answers.length, violations};
}

function isRelayed({end, status}: Ended): boolean {
  return end === 'answered' && status === OK;
}

function findFault(
  answer: Ended,
  run: Began | undefined,
  requestDigest: string | undefined,
): string | undefined {
  if (!answer.isWhole) {
    return 'a cut or changed answer was taken for whole';
  }
  if (answer.answeredRequest !== answer.request) {
    return `got the answer to ${answer.answeredRequest}`;
  }
  if (run === undefined) {
    return `its answer names run ${answer.run}, which never began`;
  }
  if (run.request !== answer.request || run.requestDigest !== requestDigest) {
    return 'its answer comes from the run of another request';
  }
  return undefined;
}
