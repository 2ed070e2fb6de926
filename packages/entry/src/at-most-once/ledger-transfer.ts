/** Converts runs to the ledger records that entries hand over, and back. */

import type {LedgerRecord} from '@wasabidyke/peer';
import type {RecordedAnswer} from '../data-path/answer-sink.js';
import type {HeaderFields} from '../data-path/headers.js';
import type {Problem} from '../data-path/problem.js';
import {Run, type RunResult} from './run-ledger.js';

const LOST_PROBLEM: Problem = {
  reason: 'upstream-failed',
  outcome: 'unknown',
  detail: 'Its answer was lost; it is never run again.',
};

/**
 * Returns the record of a run; undefined when it has certainly not run, since
 * a key that is absent from a complete ledger means the same.
 */
export function toLedgerRecord(
  run: Run,
  home: string,
  expiresInMs: number,
): LedgerRecord | undefined {
  if (run.state === 'not-run') {
    return undefined;
  }
  const {key, fingerprint, result} = run;
  const answer = result?.kind === 'done' ? result.answer : undefined;
  return {
    key,
    fingerprint,
    home,
    state: result?.kind === 'done' ? 'done' : 'unknown',
    status: answer?.status ?? 0,
    headers: toHeaderList(answer?.headers ?? {}),
    body: Uint8Array.from(answer?.body ?? []),
    lapsesInMs: expiresInMs,
  };
}

/** Returns the ended run of a record. */
export function toRun(record: LedgerRecord): Run {
  const run = new Run(record.key, 0, record.fingerprint);
  run.finish(toRunResult(record));
  return run;
}

function toRunResult(record: LedgerRecord): RunResult {
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
