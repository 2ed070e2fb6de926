/** A caller's request that has a route, read whole. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Route} from '../routing/routing-configuration.js';

/** A caller's request. */
export interface Call {
  /** Identifies this send of the request, for logs and answers. */
  readonly requestId: string | undefined;
  readonly method: string;
  /** Path and query as sent. */
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | null;
  readonly route: Route;
  readonly service: string;
  readonly loadPath: string;
  readonly configurationVersion: number;
  /** On the monotonic clock, in milliseconds. */
  readonly arrivedAtMs: number;
  /** When the caller or the route's rules wait no longer. */
  readonly deadlineMs: number;
}

/** Why a request got no upstream's answer. */
export type RefusalReason =
  | 'no-configuration'
  | 'no-upstream'
  | 'no-room'
  | 'attempts-spent'
  | 'stopping'
  | 'broken'
  | 'timeout';

/** What was believed of the best upstream when a request was refused. */
export interface RefusalBelief {
  readonly upstream: string;
  readonly estimateMs: number;
  readonly reportAgeMs: number;
  readonly freeSlots: number;
}

/** What a caller is told when no upstream's answer can be given. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Whether it is certain that the request has not run and never will. */
  readonly isNotRun: boolean;
  /** When to come back, in milliseconds; only where it hasn't run. */
  readonly comeBackMs: number | undefined;
  /** Undefined where no upstream was considered. */
  readonly belief?: RefusalBelief;
}
