/** Requests of etcd's gateway, as far as the stand-in reads them. */

import {z} from 'zod';

const int64Schema = z.union([z.string().regex(/^-?\d+$/), z.int()]);

/** Body of `POST /v3/kv/range`. */
export const rangeRequestSchema = z.object({key: z.string()});

/** Body of `POST /v3/kv/txn` with one comparison of a modification revision. */
export const transactionRequestSchema = z.object({
  compare: z
    .array(
      z.object({
        key: z.string(),
        target: z.literal('MOD'),
        result: z.literal('EQUAL'),
        mod_revision: int64Schema.default(0).transform(Number),
      }),
    )
    .length(1),
  success: z
    .array(
      z.object({
        request_put: z.object({
          key: z.string(),
          value: z.string(),
          lease: int64Schema.default(0).transform(String),
        }),
      }),
    )
    .length(1),
  failure: z.array(z.object({request_range: rangeRequestSchema})).length(1),
});

/** Body of `POST /v3/lease/grant`. */
export const leaseGrantRequestSchema = z.object({
  TTL: int64Schema.transform(Number),
});

/** Body of `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`. */
export const leaseRequestSchema = z.object({ID: int64Schema.transform(String)});

/** Body of `POST /v3/watch`. */
export const watchRequestSchema = z.object({
  create_request: z.object({key: z.string()}),
});
