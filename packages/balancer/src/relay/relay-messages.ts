/**
 * Messages by which an entry that doesn't reach the upstreams of a service has
 * another entry send a request. A message is a line of JSON and the body of the
 * request; its answer is a line of JSON and the body of the upstream's answer.
 */

import type {IncomingHttpHeaders} from 'node:http';
import * as z from 'zod/mini';
import {durationMsSchema, parseJson} from '@wasabidyke/shared';
import type {CompleteAnswer} from '../exchange/exchange.js';
import type {AnswerKind} from '../exchange/wire-protocol.js';

/** Path at which an entry takes requests from other entries. */
export const RELAY_PATH = '/v1/relay';

/** Maximum size of the line before a body, in bytes: the headers of a request, escaped. */
export const MAXIMUM_LINE_BYTES = 262_144;

/** Headers of an answer: what it is, why a request was refused, when it may come back in milliseconds, and the requests in flight. */
export const RESULT_HEADER = 'relay-result';
export const REASON_HEADER = 'relay-reason';
export const RETRY_AFTER_HEADER = 'relay-retry-after-ms';
export const IN_FLIGHT_HEADER = 'relay-in-flight';

/** What an answer is: an upstream's answer, or the entry's word that the request has not run, or may have. */
export type RelayResult = 'answer' | 'not-run' | 'unknown';

/** Statuses of answers that are no informational ones. */
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

const LINE_END = '\n';

const headersSchema = z.record(
  z.string(),
  z.union([z.string(), z.array(z.string())]),
);

/** Schema of the line before the body of a request. */
export const relayedRequestSchema = z.object({
  requestId: z.optional(z.string()),
  method: z.string(),
  /** Path and query. */
  url: z.string(),
  headers: headersSchema,
  hasBody: z.boolean(),
  callerAddress: z.string(),
  /** Name of the client account; undefined without one, and from builds that know none. */
  account: z.optional(z.string()),
  /** Regions that the request was routed with; undefined if all are allowed, and from builds that know no regions. */
  allowedRegions: z.optional(z.array(z.string())),
  service: z.string(),
  kind: z.enum(['idempotent', 'at-most-once']),
  /** Time since the request arrived, in milliseconds. */
  elapsedMs: durationMsSchema,
  /** Time until its deadline, in milliseconds. */
  remainingMs: durationMsSchema,
  /** Ids of upstreams that earlier attempts used. */
  excluded: z.array(z.string()),
});

/** Schema of the line before the body of an answer. */
const relayedAnswerSchema = z.object({
  upstream: z.string(),
  status: z.int().check(z.minimum(FIRST_FINAL_STATUS), z.maximum(LAST_STATUS)),
  headers: headersSchema,
});

/** A request that another entry is to send. */
export type RelayedRequest = z.infer<typeof relayedRequestSchema>;

/** An upstream's answer to a relayed request. */
export interface RelayedAnswer {
  /** Id of the upstream. */
  readonly upstream: string;
  readonly answer: CompleteAnswer;
}

/** Serializes a line and a body. */
function serialize(line: object, body: Buffer | null): Buffer {
  const head = Buffer.from(JSON.stringify(line) + LINE_END);
  return body === null ? head : Buffer.concat([head, body]);
}

/** Splits a message into its parsed line and its body. */
function split(bytes: Buffer): {line: unknown; body: Buffer} {
  const end = bytes.indexOf(LINE_END);
  const at = end === -1 ? bytes.length : end;
  const line = parseJson(bytes.subarray(0, at).toString('utf8'));
  return {line, body: bytes.subarray(at + LINE_END.length)};
}

/** Serializes a request. */
export function serializeRequest(
  request: RelayedRequest,
  body: Buffer | null,
): Buffer {
  return serialize(request, body);
}

/** Parses a request; undefined if it can't be read. */
export function parseRequest(
  bytes: Buffer,
): {request: RelayedRequest; body: Buffer | null} | undefined {
  const {line, body} = split(bytes);
  const parsed = relayedRequestSchema.safeParse(line);
  if (!parsed.success) {
    return undefined;
  }
  return {request: parsed.data, body: parsed.data.hasBody ? body : null};
}

/** Serializes an upstream's answer. */
export function serializeAnswer({upstream, answer}: RelayedAnswer): Buffer {
  const {status, headers, body} = answer;
  return serialize({upstream, status, headers: definedOf(headers)}, body);
}

/** Parses an upstream's answer; undefined if it can't be read. */
export function parseAnswer(bytes: Buffer): RelayedAnswer | undefined {
  const {line, body} = split(bytes);
  const parsed = relayedAnswerSchema.safeParse(line);
  if (!parsed.success) {
    return undefined;
  }
  const {upstream, status, headers} = parsed.data;
  return {upstream, answer: {status, headers, body}};
}

/** Returns the headers that have a value. */
export function definedOf(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const defined: Record<string, string | string[]> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value !== undefined) {
      defined[name] = value;
    }
  }
  return defined;
}

/** Status of an entry of another build that doesn't know the message. */
const UNKNOWN_MESSAGE_STATUS = 404;

/** Classifies an entry's answer. Only its own word says that a request has not run, or that it doesn't know the message. */
export function classifyRelayAnswer(
  status: number,
  headers: IncomingHttpHeaders,
): AnswerKind {
  switch (headers[RESULT_HEADER]) {
    case 'answer':
    case 'unknown':
      return 'answer';
    case 'not-run':
      return 'not-run';
    case undefined:
      return status === UNKNOWN_MESSAGE_STATUS ? 'not-run' : 'foreign';
    default:
      return 'foreign';
  }
}
