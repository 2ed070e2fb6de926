/** A caller's request with its route, its deadline and its parsed headers. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Route, Snapshot} from '@wasabidyke/manifest';
import type {StopDeadline} from '../control/stop-deadline.js';
import {
  ATTEMPT_HEADER,
  DEPTH_HEADER,
  readWholeNumber,
  TIMEOUT_HEADER,
  toUpstreamHeaders,
  type HeaderFields,
} from './headers.js';

/** A caller's request that matched a route. */
export interface CallerRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly snapshot: Snapshot;
  readonly route: Route;
  /** On the monotonic clock, in milliseconds; earlier once this process stops. */
  readonly deadlineMs: number;
  /** Time allowed for the whole request, in milliseconds. */
  readonly timeoutMs: number;
  /** How many calls through the system lie above this one. */
  readonly depth: number;
  /** How many times the caller has sent it, counting from 1; undefined without the header. */
  readonly attempt: number | undefined;
}

/** Largest call depth; larger values are capped. */
const MAXIMUM_DEPTH = 64;

const MAXIMUM_ATTEMPT = 1_000_000;

/** Reads the timeout, depth and attempt headers of a request. */
export function createCallerRequest(
  request: IncomingMessage,
  response: ServerResponse,
  snapshot: Snapshot,
  route: Route,
  nowMs: number,
  stopDeadline: StopDeadline,
): CallerRequest {
  const {headers} = request;
  const ruleTimeoutMs = route.rule.timeoutMs;
  const timeoutMs =
    readWholeNumber(headers, TIMEOUT_HEADER, ruleTimeoutMs) ?? ruleTimeoutMs;
  return {
    request,
    response,
    snapshot,
    route,
    timeoutMs,
    get deadlineMs() {
      return Math.min(nowMs + timeoutMs, stopDeadline.endsAtMs);
    },
    depth: readWholeNumber(headers, DEPTH_HEADER, MAXIMUM_DEPTH) ?? 0,
    attempt: readWholeNumber(headers, ATTEMPT_HEADER, MAXIMUM_ATTEMPT),
  };
}

/** Creates the headers of the request to an upstream. */
export function createUpstreamHeaders(
  call: CallerRequest,
  nowMs: number,
): HeaderFields {
  const headers = toUpstreamHeaders(call.request.headers);
  const remainingMs = Math.max(1, Math.ceil(call.deadlineMs - nowMs));
  headers[TIMEOUT_HEADER] = String(remainingMs);
  headers[DEPTH_HEADER] = String(call.depth + 1);
  const address = call.request.socket.remoteAddress;
  if (address !== undefined) {
    const previous = call.request.headers['x-forwarded-for'];
    headers['x-forwarded-for'] =
      previous === undefined ? address : `${String(previous)}, ${address}`;
  }
  return headers;
}
