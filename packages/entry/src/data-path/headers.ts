/** Header names used with callers, upstreams and other entries, and which headers pass through. */

import type {IncomingHttpHeaders} from 'node:http';
import {LOAD_REPORT_HEADER} from '@wasabidyke/policy';
import {copyEndToEndHeaders, type HeaderFields} from '@wasabidyke/shared';

export type {HeaderFields};

/** Whether the request was run; set on every answer that an entry generates itself. */
export const OUTCOME_HEADER = 'wasabidyke-outcome';

/** Remaining time of the request, in milliseconds. */
export const TIMEOUT_HEADER = 'wasabidyke-timeout-ms';

/** How many calls through the system lie above this one. */
export const DEPTH_HEADER = 'wasabidyke-depth';

/** How many times the caller has sent this request, counting from 1. */
export const ATTEMPT_HEADER = 'wasabidyke-attempt';

/** Names the entry that forwarded the request to this one. */
export const FORWARDED_HEADER = 'wasabidyke-forwarded';

/** Set on the recorded answer to a resend of a request that has run before. */
export const REPLAYED_HEADER = 'wasabidyke-replayed';

/** Identifies a request that must run at most once. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Set to `leaving` by an upstream that is about to stop. */
export const UPSTREAM_STATE_HEADER = 'wasabidyke-upstream-state';

/** Request headers that the entry handles and doesn't pass on. */
const CONSUMED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  'expect',
  FORWARDED_HEADER,
  TIMEOUT_HEADER,
  DEPTH_HEADER,
]);

/** Answer headers meant for the entry, which are not passed on to callers. */
const CONSUMED_ANSWER_HEADERS: ReadonlySet<string> = new Set([
  UPSTREAM_STATE_HEADER,
  LOAD_REPORT_HEADER,
  OUTCOME_HEADER,
]);

/** Selects the request headers that go on to an upstream. */
export function toUpstreamHeaders(headers: IncomingHttpHeaders): HeaderFields {
  return copyEndToEndHeaders(headers, CONSUMED_REQUEST_HEADERS);
}

/** Selects the headers of an upstream's answer that go on to the caller. */
export function toCallerHeaders(headers: IncomingHttpHeaders): HeaderFields {
  return copyEndToEndHeaders(headers, CONSUMED_ANSWER_HEADERS);
}

/** Selects the headers of another entry's answer that go on to the caller. */
export function toForwardedHeaders(headers: IncomingHttpHeaders): HeaderFields {
  return copyEndToEndHeaders(headers, NO_HEADERS);
}

/** Reads a header that holds a whole number of up to nine digits, capped at `maximum`; undefined otherwise. */
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
