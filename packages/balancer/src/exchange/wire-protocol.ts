/** Headers exchanged between callers, entries and upstreams. */

import type {IncomingHttpHeaders} from 'node:http';
import type {OccupancyReport} from '@wasabidyke/policy';
import type {HeaderFields} from '@wasabidyke/shared';

/** Request metadata in a caller's headers. */
export interface CallerMetadata {
  /** Identifies one send of the request; undefined if the caller set none. */
  readonly requestId: string | undefined;
  /** Remaining time until the caller's deadline, in milliseconds; undefined if it set none. */
  readonly remainingMs: number | undefined;
  /** Key of a client account; undefined if the caller sent none, or more than one. */
  readonly accountKey: string | undefined;
  /** Whether the caller sent more than one key. */
  readonly hasRepeatedKey: boolean;
}

/** Request metadata in the headers to an upstream. */
export interface UpstreamMetadata {
  /** Remaining time until the request's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Id of the intended upstream; any other one refuses the request. */
  readonly upstreamId: string;
}

/** Kind of an answer, by its status and headers. */
export type AnswerKind =
  /** The upstream's own answer to this request, whatever its status. */
  | 'answer'
  /** The upstream refused the request before running it. */
  | 'not-run'
  /** Another upstream now has the address; it did not run the request. */
  | 'other-upstream'
  /** It belongs to another request, or does not come from an upstream. */
  | 'foreign';

/** What tells the answer to a request from others on the same connection. */
export interface AnswerExpectation {
  /** Undefined if the caller set none. */
  readonly requestId: string | undefined;
  /** Whether the connection carried nothing before, so that no other answer can arrive on it. */
  readonly isFirst: boolean;
}

/** What an answer says of the upstream's limit: requests per second from all entries together, that there is none, or something that can't be read. */
export type NamedLimit = number | 'none' | 'unreadable';

/** Reads and writes the headers of requests and answers. */
export abstract class WireProtocol {
  /**
   * Reads the request metadata from a caller's headers.
   * @param rawHeaders Names and values in turn as they were sent: `headers` joins those with one name.
   */
  abstract readCallerMetadata(
    headers: IncomingHttpHeaders,
    rawHeaders: readonly string[],
  ): CallerMetadata;

  /**
   * Replaces the key in a caller's headers by the name of its client account.
   * @param accountName Undefined on public routes and without accounts: the headers name no account.
   */
  abstract toAccountHeaders(
    headers: IncomingHttpHeaders,
    accountName: string | undefined,
  ): IncomingHttpHeaders;

  /** Converts the headers of a caller's request to those sent to an upstream. */
  abstract toUpstreamHeaders(
    headers: IncomingHttpHeaders,
    metadata: UpstreamMetadata,
  ): HeaderFields;

  /** Classifies an answer by its status and headers. */
  abstract classifyAnswer(
    status: number,
    headers: IncomingHttpHeaders,
    expected: AnswerExpectation,
  ): AnswerKind;

  /** Whether an answer names the request that it belongs to; those to load queries name none. */
  abstract namesRequest(headers: IncomingHttpHeaders): boolean;

  /** Reads the upstream's load from an answer; undefined if there is none. */
  abstract readOccupancy(
    headers: IncomingHttpHeaders,
  ): OccupancyReport | undefined;

  /** Reads the limit that the upstream names in an answer. */
  abstract readLimit(headers: IncomingHttpHeaders): NamedLimit;

  /** Whether an answer says that the upstream is leaving. */
  abstract isLeaving(headers: IncomingHttpHeaders): boolean;

  /** Reads the rest that the upstream asks for in an answer, in milliseconds; 0 if it asks for none. */
  abstract readRestMs(status: number, headers: IncomingHttpHeaders): number;

  /** Reads the remaining warm-up of the upstream from the answer to a load query, in milliseconds; undefined if the answer names none. */
  abstract readWarmUpLeftMs(headers: IncomingHttpHeaders): number | undefined;

  /** Reads the upstream's id from the answer to a load query. */
  abstract readUpstreamId(headers: IncomingHttpHeaders): string | undefined;

  /** Converts the headers of an upstream's answer to those sent to the caller. */
  abstract toCallerHeaders(headers: IncomingHttpHeaders): HeaderFields;
}
