/** The headers by which callers, entries and upstreams understand each other. */

import type {IncomingHttpHeaders} from 'node:http';
import type {OccupancyReport} from '@wasabidyke/policy';
import type {HeaderFields} from '@wasabidyke/shared';

/** What a caller says of its request. */
export interface CallerStatement {
  /** Identifies one send of the request; undefined when it has none. */
  readonly requestId: string | undefined;
  /** How long the caller will wait, in milliseconds. */
  readonly leftMs: number | undefined;
}

/** What an upstream is told of a request. */
export interface UpstreamStatement {
  /** How long an answer is of use, in milliseconds. */
  readonly leftMs: number;
  /** Identity of the upstream that is meant: any other refuses. */
  readonly upstreamId: string;
}

/** What the head of an answer means. */
export type AnswerMeaning =
  /** The upstream's own answer to this request, whatever its status. */
  | 'answer'
  /** The upstream refused before running. */
  | 'not-run'
  /** Another upstream has the address now; it ran nothing. */
  | 'other-upstream'
  /** It belongs to another request, or to none. */
  | 'foreign';

/** How headers are written and read. */
export abstract class WireProtocol {
  /** Reads what a caller says of its request. */
  abstract readCaller(headers: IncomingHttpHeaders): CallerStatement;

  /** The headers of a caller's request as they go to an upstream. */
  abstract toUpstream(
    headers: IncomingHttpHeaders,
    statement: UpstreamStatement,
  ): HeaderFields;

  /** What the head of an answer means. */
  abstract readAnswer(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string | undefined,
  ): AnswerMeaning;

  /** The load that an answer tells; undefined when it tells none. */
  abstract readOccupancy(
    headers: IncomingHttpHeaders,
  ): OccupancyReport | undefined;

  /** The identity that an answer to a load query tells. */
  abstract readUpstreamId(headers: IncomingHttpHeaders): string | undefined;

  /** The headers of an upstream's answer as they go to the caller. */
  abstract toCaller(headers: IncomingHttpHeaders): HeaderFields;
}
