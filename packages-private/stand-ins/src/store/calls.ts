/** What each call of the gateway does to the key space, and what it answers. */

import type {z} from 'zod';
import type {KeySpace, Write} from './key-space.js';
import {
  leaseGrantRequestSchema,
  leaseRequestSchema,
  rangeRequestSchema,
  transactionRequestSchema,
} from './messages.js';

/** An answer of the gateway. */
export interface CallAnswer {
  readonly status: number;
  readonly body: object;
}

const GRPC_INVALID_ARGUMENT = 3;
const GRPC_NOT_FOUND = 5;
const GRPC_RESOURCE_EXHAUSTED = 8;

/** Reads a key, as of `revision` where it is given. */
export function runRange(
  keys: KeySpace,
  content: unknown,
  revision: number | undefined,
): CallAnswer {
  return withRequest(rangeRequestSchema, content, ({key}) => {
    const write = keys.read(key, revision);
    const kvs = write === undefined ? {} : {kvs: [toKeyValue(write)]};
    const count = write === undefined ? {} : {count: '1'};
    return answer({header: header(keys), ...kvs, ...count});
  });
}

/** Compares a key's modification revision and writes where it matches. */
export function runTransaction(keys: KeySpace, content: unknown): CallAnswer {
  return withRequest(transactionRequestSchema, content, request => {
    const [compare] = request.compare;
    const present = keys.read(compare.key);
    if ((present?.revision ?? 0) !== compare.mod_revision) {
      const kvs = present === undefined ? {} : {kvs: [toKeyValue(present)]};
      const range = {header: header(keys), ...kvs};
      const responses = [{response_range: range}];
      return answer({header: header(keys), responses});
    }
    const {key, value, lease} = request.success[0].request_put;
    const leaseId = lease === '0' ? undefined : lease;
    if (leaseId !== undefined && !keys.hasLease(leaseId)) {
      return refuse(404, GRPC_NOT_FOUND, 'requested lease not found');
    }
    keys.write(key, value, leaseId);
    const responses = [{response_put: {header: header(keys)}}];
    return answer({header: header(keys), succeeded: true, responses});
  });
}

/** Grants a lease. */
export function runLeaseGrant(keys: KeySpace, content: unknown): CallAnswer {
  return withRequest(leaseGrantRequestSchema, content, ({TTL}) => {
    const id = TTL > 0 ? keys.grant(TTL) : undefined;
    return id === undefined
      ? refuse(429, GRPC_RESOURCE_EXHAUSTED, 'no lease can be granted')
      : answer({header: header(keys), ID: id, TTL: String(TTL)});
  });
}

/** Renews a lease; a lapsed one is answered without a time to live. */
export function runLeaseKeepAlive(
  keys: KeySpace,
  content: unknown,
): CallAnswer {
  return withRequest(leaseRequestSchema, content, ({ID}) => {
    const timeToLive = keys.renew(ID);
    const rest = timeToLive === 0 ? {} : {TTL: String(timeToLive)};
    return answer({result: {header: header(keys), ID, ...rest}});
  });
}

/** Ends a lease. */
export function runLeaseRevoke(keys: KeySpace, content: unknown): CallAnswer {
  return withRequest(leaseRequestSchema, content, ({ID}) =>
    keys.lapse(ID)
      ? answer({header: header(keys)})
      : refuse(404, GRPC_NOT_FOUND, 'requested lease not found'),
  );
}

/** The event of a write, as a watch carries it. */
export function toWatchEvent(write: Write): object {
  return write.value === undefined
    ? {type: 'DELETE', kv: {key: write.key, mod_revision: `${write.revision}`}}
    : {kv: toKeyValue(write)};
}

/** The header that every answer carries. */
export function header(keys: KeySpace): object {
  return {cluster_id: '1', member_id: '1', revision: String(keys.revision)};
}

function toKeyValue(write: Write): object {
  const revision = String(write.revision);
  const {key, value = ''} = write;
  return {key, value, mod_revision: revision, create_revision: revision};
}

function withRequest<Schema extends z.ZodType>(
  schema: Schema,
  content: unknown,
  run: (request: z.infer<Schema>) => CallAnswer,
): CallAnswer {
  const parsed = schema.safeParse(content);
  return parsed.success
    ? run(parsed.data)
    : refuse(400, GRPC_INVALID_ARGUMENT, 'the request is not served here');
}

function answer(body: object): CallAnswer {
  return {status: 200, body};
}

function refuse(status: number, code: number, message: string): CallAnswer {
  return {status, body: {error: message, code, message}};
}
