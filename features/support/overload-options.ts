/** What a simulation of an overload is given, and what it tells of each request. */

import type {SimulatedKind} from './overload-upstream.js';

/** What is simulated. */
export interface OverloadOptions {
  readonly entries: number;
  readonly upstreams: number;
  readonly slots: number;
  readonly kinds: readonly SimulatedKind[];
  /** Requests per second at a time in milliseconds. */
  readonly rate: (atMs: number) => number;
  /** Number of upstreams at a time in milliseconds. */
  readonly running: (atMs: number) => number;
  readonly lengthMs: number;
  /**
   * `late-queue` sends whatever can be answered before its deadline. `informed`
   * is what can be reached: one entry that knows the load of all upstreams at
   * each moment, and callers that do not come back. `value` and
   * `informed-value` admit by value instead.
   */
  readonly manner:
    'late-queue' | 'admission' | 'informed' | 'value' | 'informed-value';
  /** Requests per second that the first account of the last kind sends beside its usual, at a time in milliseconds. */
  readonly extraRate?: (atMs: number) => number;
  /** How often a caller comes back after a refusal; once if undefined. */
  readonly callerRetries?: number;
  /** Part of the requests at a time in milliseconds that upstreams reject although they have room, from 0 to 1. */
  readonly rejectedShare?: (atMs: number) => number;
}

/** What became of one caller's request. */
export interface SimulatedRequest {
  readonly kind: SimulatedKind;
  /** Undefined without client accounts. */
  readonly account: string | undefined;
  readonly startedAtMs: number;
  /** Undefined if it was not answered. */
  answeredAtMs: number | undefined;
  refusals: number;
}

/** Whether a request was answered within its target. */
export function isTimely(request: SimulatedRequest): boolean {
  const {answeredAtMs, startedAtMs, kind} = request;
  return (
    answeredAtMs !== undefined && answeredAtMs - startedAtMs <= kind.targetMs
  );
}
