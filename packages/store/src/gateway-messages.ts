/** Messages of etcd v3's HTTP/JSON gateway, as published in etcd's API reference; only the parts that are used. */

import {z} from 'zod';

/** A 64-bit integer: the gateway writes it as a string and omits zero. */
const int64Schema = z
  .union([z.string().regex(/^\d{1,20}$/), z.int().nonnegative()])
  .default(0)
  .transform(Number)
  .refine(Number.isSafeInteger, 'The number is too large.');

/** Identity of a lease: a 64-bit integer that is only passed back. */
const leaseIdSchema = z.union([
  z.string().regex(/^-?\d{1,20}$/),
  z.int().transform(String),
]);

const base64Schema = z.string().regex(/^[A-Za-z0-9+/]*={0,2}$/);

/** A key and its value. */
export const keyValueSchema = z.object({
  key: base64Schema,
  value: base64Schema.default(''),
  mod_revision: int64Schema,
});

/** A key and its value. */
export type GatewayKeyValue = z.infer<typeof keyValueSchema>;

/** Answer to `POST /v3/kv/range`. */
export const rangeAnswerSchema = z.object({
  kvs: z.array(keyValueSchema).default([]),
});

/** Answer to `POST /v3/kv/txn`. */
export const transactionAnswerSchema = z.object({
  header: z.object({revision: int64Schema}),
  succeeded: z.boolean().default(false),
  responses: z
    .array(z.object({response_range: rangeAnswerSchema.optional()}))
    .default([]),
});

/** Answer to `POST /v3/lease/grant`. */
export const leaseGrantAnswerSchema = z.object({
  ID: leaseIdSchema,
  TTL: int64Schema,
});

/** Answer to `POST /v3/lease/keepalive`: the first message of a stream. */
export const leaseKeepAliveAnswerSchema = z.object({
  result: z.object({ID: leaseIdSchema, TTL: int64Schema}),
});

/** One message of the stream that answers `POST /v3/watch`. */
export const watchAnswerSchema = z.object({
  result: z.object({
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    cancel_reason: z.string().default(''),
    events: z
      .array(
        z.object({
          type: z.enum(['PUT', 'DELETE']).default('PUT'),
          kv: keyValueSchema,
        }),
      )
      .default([]),
  }),
});

/** An error as the gateway answers it. Codes are gRPC's. */
export const gatewayErrorSchema = z.object({
  code: z.int(),
  message: z.string().default(''),
});

/** gRPC's code for something that is not there. */
export const GRPC_NOT_FOUND = 5;

/** gRPC codes by which a server says that it did not do what was asked. */
const REFUSAL_CODES: ReadonlySet<number> = new Set([
  3,
  GRPC_NOT_FOUND,
  6,
  7,
  8,
  9,
  11,
  12,
  16,
]);

/** Whether an error's code tells that the call certainly had no effect. */
export function isRefusalCode(code: number): boolean {
  return REFUSAL_CODES.has(code);
}

/** Encodes a key or value for the gateway. */
export function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Decodes a key or value of the gateway. */
export function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
