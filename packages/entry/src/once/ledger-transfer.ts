/** Ledger records as entries hand them over, to and from runs. */

import type {LedgerRecord} from '@wasabidyke/peer';
import type {RecordedAnswer} from '../data-path/answer-sink.js';
import type {HeaderFields} from '../data-path/headers.js';
import type {Problem} from '../data-path/problem.js';
import {Run, type RunEnd} from './run-ledger.js';

const LOST_PROBLEM: Problem = {
  reason: 'upstream-failed',
  outcome: 'unknown',
  detail: 'Its answer was lost; it is never run again.',
};

/**
 * The record of a run; undefined for one that was certainly not run, since an
 * absent key of a whole ledger says the same.
 */
export function toLedgerRecord(
  run: Run,
  home: string,
  lapsesInMs: number,
): LedgerRecord | undefined {
  if (run.state === 'not-run') {
    return undefined;
  }
  const {key, fingerprint, end} = run;
  const answer = end?.kind === 'done' ? end.answer : undefined;
  return {
    key,
    fingerprint,
    home,
    state: end?.kind === 'done' ? 'done' : 'unknown',
    status: answer?.status ?? 0,
    headers: toHeaderList(answer?.headers ?? {}),
    body: Uint8Array.from(answer?.body ?? []),
    lapsesInMs,
  };
}

/** The run of a record. */
export function toRun(record: LedgerRecord): Run {
  const run = new Run(record.key, 0, record.fingerprint);
  run.finish(toRunEnd(record));
  return run;
}

function toRunEnd(record: LedgerRecord): RunEnd {
  if (record.state === 'unknown') {
    return {kind: 'unknown', problem: LOST_PROBLEM};
  }
  if (record.status === 0) {
    return {kind: 'done', answer: undefined};
  }
  const answer: RecordedAnswer = {
    status: record.status,
    headers: toHeaderFields(record.headers),
    body: Buffer.from(record.body),
  };
  return {kind: 'done', answer};
}

function toHeaderList(headers: HeaderFields): LedgerRecord['headers'] {
  return Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().map(single => ({name, value: single})),
  );
}

function toHeaderFields(list: LedgerRecord['headers']): HeaderFields {
  const headers: HeaderFields = {};
  for (const {name, value} of list) {
    const known = headers[name];
    headers[name] = known === undefined ? value : [known, value].flat();
  }
  return headers;
}
