/** Answers that an entry generates itself: problem documents (RFC 9457) with an outcome. */

import type {ServerResponse} from 'node:http';
import type {Outcome} from '@wasabidyke/shared';
import {OUTCOME_HEADER} from './headers.js';

/** Reasons of problems; docs/CALLERS.md lists them. */
export type ProblemReason = keyof typeof PROBLEMS;

interface ProblemKind {
  readonly status: number;
  readonly title: string;
}

const PROBLEMS = {
  'bad-request': {status: 400, title: 'The request cannot be read'},
  'bad-idempotency-key': {
    status: 400,
    title: 'The idempotency key has no valid home token',
  },
  'unknown-service': {status: 404, title: 'No service has this path'},
  'unknown-request': {
    status: 404,
    title: 'The service has no rule for this path',
  },
  'wrong-method': {
    status: 405,
    title: 'The service has no rule for this method',
  },
  'request-timeout': {
    status: 408,
    title: 'The request did not arrive in time',
  },
  'key-lapsed': {status: 410, title: 'The idempotency key has lapsed'},
  'body-too-large': {status: 413, title: 'The body is too large'},
  'key-reused': {
    status: 422,
    title: 'The idempotency key belongs to another request',
  },
  quarantined: {
    status: 422,
    title: 'Requests like this one crashed the upstreams that ran them',
  },
  'key-required': {
    status: 428,
    title: 'This request needs an idempotency key',
  },
  'headers-too-large': {status: 431, title: 'The headers are too large'},
  'upstream-failed': {status: 502, title: 'The upstream broke off'},
  'answer-too-large': {
    status: 502,
    title: 'The answer is larger than this kind of request allows',
  },
  'home-gone': {
    status: 503,
    title: 'The entry that knows this idempotency key is gone',
  },
  'home-unreachable': {
    status: 503,
    title: 'The entry that knows this idempotency key cannot be reached',
  },
  draining: {status: 503, title: 'This entry is being stopped'},
  'not-ready': {status: 503, title: 'This entry has no manifest yet'},
  overloaded: {status: 503, title: 'No upstream has room'},
  'no-upstream': {status: 503, title: 'No upstream can be reached'},
  'ledger-full': {
    status: 503,
    title: 'This entry cannot take more idempotency keys',
  },
  'deadline-exceeded': {status: 504, title: 'The deadline has passed'},
} as const satisfies Record<string, ProblemKind>;

/** A problem to be sent to a caller. */
export interface Problem {
  readonly reason: ProblemReason;
  readonly outcome: Outcome;
  readonly detail: string;
  /** Value of `Retry-After`, in seconds; temporary problems have a default. */
  readonly retryAfterSeconds?: number;
}

/** Returns the HTTP status of a reason. */
export function toStatus(reason: ProblemReason): number {
  return PROBLEMS[reason].status;
}

/** Formats a problem document as JSON. */
export function toProblemBody(problem: Problem): string {
  const {status, title} = PROBLEMS[problem.reason];
  return JSON.stringify({
    type: `urn:wasabidyke:problem:${problem.reason}`,
    title,
    status,
    detail: problem.detail,
    reason: problem.reason,
    outcome: problem.outcome,
  });
}

/** Default of `Retry-After` for temporary problems, in seconds. */
const DEFAULT_RETRY_AFTER_SECONDS = 1;

/** Statuses of problems that end without a change to the request. */
const TEMPORARY_STATUSES: ReadonlySet<number> = new Set([503, 504]);

/** Answers with a problem document. The headers must not have been sent yet. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  const body = toProblemBody(problem);
  response.statusCode = toStatus(problem.reason);
  response.setHeader('content-type', 'application/problem+json');
  response.setHeader('content-length', Buffer.byteLength(body));
  response.setHeader(OUTCOME_HEADER, problem.outcome);
  const isTemporary = TEMPORARY_STATUSES.has(response.statusCode);
  const retryAfterSeconds =
    problem.retryAfterSeconds ??
    (isTemporary ? DEFAULT_RETRY_AFTER_SECONDS : undefined);
  if (retryAfterSeconds !== undefined) {
    response.setHeader('retry-after', retryAfterSeconds);
  }
  response.end(body);
}
