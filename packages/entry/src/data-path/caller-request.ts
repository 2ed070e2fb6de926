/** A caller's request, with what its headers and its route say. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Route, Snapshot} from '@wasabidyke/manifest';
import {
  ATTEMPT_HEADER,
  DEPTH_HEADER,
  readWholeNumber,
  TIMEOUT_HEADER,
  toUpstreamHeaders,
  type HeaderFields,
} from './headers.js';

/** A caller's request that has a route. */
export interface CallerRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly snapshot: Snapshot;
  readonly route: Route;
  /** On the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Time allowed for the whole request, in milliseconds. */
  readonly timeoutMs: number;
  readonly depth: number;
  /** How many times the caller has sent it, counting from 1; undefined when it doesn't say. */
  readonly attempt: number | undefined;
}

/** Longest chain of calls that is told apart. */
const MAXIMUM_DEPTH = 64;

const MAXIMUM_ATTEMPT = 1_000_000;

/** Reads what a request says of itself. */
export function createCallerRequest(
  request: IncomingMessage,
  response: ServerResponse,
  snapshot: Snapshot,
  route: Route,
  nowMs: number,
): CallerRequest {
  const {headers} = request;
  const allowedMs = route.rule.timeoutMs;
  const timeoutMs =
    readWholeNumber(headers, TIMEOUT_HEADER, allowedMs) ?? allowedMs;
  return {
    request,
    response,
    snapshot,
    route,
    timeoutMs,
    deadlineMs: nowMs + timeoutMs,
    depth: readWholeNumber(headers, DEPTH_HEADER, MAXIMUM_DEPTH) ?? 0,
    attempt: readWholeNumber(headers, ATTEMPT_HEADER, MAXIMUM_ATTEMPT),
  };
}

/** The headers with which a request goes to an upstream. */
export function createUpstreamHeaders(
  call: CallerRequest,
  nowMs: number,
): HeaderFields {
  const headers = toUpstreamHeaders(call.request.headers);
  const leftMs = Math.max(1, Math.ceil(call.deadlineMs - nowMs));
  headers[TIMEOUT_HEADER] = String(leftMs);
  headers[DEPTH_HEADER] = String(call.depth + 1);
  const address = call.request.socket.remoteAddress;
  if (address !== undefined) {
    const former = call.request.headers['x-forwarded-for'];
    headers['x-forwarded-for'] =
      former === undefined ? address : `${String(former)}, ${address}`;
  }
  return headers;
}
