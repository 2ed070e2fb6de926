/** Header names of the interfaces for callers and upstreams, and which headers pass through. */

import type {IncomingHttpHeaders} from 'node:http';
import {LOAD_REPORT_HEADER} from '@wasabidyke/policy';
import {copyHeaders, type HeaderFields} from '@wasabidyke/shared';

export type {HeaderFields};

/** Whether the request was run: on every answer that the system itself makes. */
export const OUTCOME_HEADER = 'wasabidyke-outcome';

/** Time left for the request in milliseconds. */
export const TIMEOUT_HEADER = 'wasabidyke-timeout-ms';

/** How many calls through the system lie above this one. */
export const DEPTH_HEADER = 'wasabidyke-depth';

/** How many times the caller has sent this request, counting from 1. */
export const ATTEMPT_HEADER = 'wasabidyke-attempt';

/** Set on a request that one entry passes to another. */
export const FORWARDED_HEADER = 'wasabidyke-forwarded';

/** Set on the answer to a resend, whose request was run before. */
export const REPLAYED_HEADER = 'wasabidyke-replayed';

/** Identifies a request that must run at most once. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** An upstream says with it that it is leaving. */
export const UPSTREAM_STATE_HEADER = 'wasabidyke-upstream-state';

/** Headers of requests that the entry answers for itself. */
const CONSUMED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  'expect',
  FORWARDED_HEADER,
  TIMEOUT_HEADER,
  DEPTH_HEADER,
]);

/** Headers of answers between upstreams and entries, which callers are not told. */
const CONSUMED_ANSWER_HEADERS: ReadonlySet<string> = new Set([
  UPSTREAM_STATE_HEADER,
  LOAD_REPORT_HEADER,
  OUTCOME_HEADER,
]);

/** The request headers that go on to an upstream. */
export function toUpstreamHeaders(headers: IncomingHttpHeaders): HeaderFields {
  return copyHeaders(headers, CONSUMED_REQUEST_HEADERS);
}

/** The answer headers that go on to the caller. */
export function toCallerHeaders(headers: IncomingHttpHeaders): HeaderFields {
  return copyHeaders(headers, CONSUMED_ANSWER_HEADERS);
}

/** The answer headers that go on from another entry to the caller. */
export function toForwardedHeaders(headers: IncomingHttpHeaders): HeaderFields {
  return copyHeaders(headers, NO_HEADERS);
}

/** Reads a header that holds one whole number from 0 to `maximum`; undefined otherwise. */
export function readWholeNumber(
  headers: IncomingHttpHeaders,
  name: string,
  maximum: number,
): number | undefined {
  const text = headers[name];
  if (typeof text !== 'string' || !/^\d{1,9}$/.test(text)) {
    return undefined;
  }
  return Math.min(Number(text), maximum);
}

const NO_HEADERS: ReadonlySet<string> = new Set();
