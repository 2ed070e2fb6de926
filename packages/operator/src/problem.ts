/** Problem documents (RFC 9457) of the operators' interface. */

import {STATUS_CODES} from 'node:http';
import type {Problem} from './messages.js';

/** Media type of a problem document. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

/** Kinds of problems that an entry tells its operators. */
export type ProblemKind =
  | 'bad-request'
  | 'unauthorized'
  | 'forbidden-host'
  | 'not-found'
  | 'no-manifest'
  | 'request-timeout'
  | 'too-large'
  | 'unsupported-media-type'
  | 'superseded'
  | 'rejected'
  | 'outcome-unknown'
  | 'internal';

/** Creates a problem document. */
export function createProblem(
  kind: ProblemKind,
  status: number,
  detail: string,
): Problem {
  const title = STATUS_CODES[status] ?? 'Error';
  return {type: `/problems/${kind}`, title, status, detail};
}
