/** Messages by which entries ask each other for requests of accounts, and tell each other the demand of regions. */

import * as z from 'zod/mini';

/** Path at which a granting entry is asked for requests. */
export const QUOTA_PATH = '/v1/quota';

/** Path at which a granting entry takes the demand of other regions. */
export const QUOTA_DEMAND_PATH = '/v1/quota/demand';

/** Maximum number of accounts in one message. */
export const MAXIMUM_ACCOUNTS = 128;

/** Maximum number of requests asked for at once for one account. */
export const MAXIMUM_COUNT = 10_000;

/** Maximum size of a message, in bytes: that many accounts with long names. */
export const MAXIMUM_QUOTA_BYTES = 65_536;

const amountSchema = z.number().check(z.minimum(0));
const countSchema = z.int().check(z.minimum(0), z.maximum(MAXIMUM_COUNT));

/** Schema of a query. */
export const quotaQuerySchema = z.object({
  asks: z
    .array(z.object({account: z.string(), count: countSchema}))
    .check(z.maxLength(MAXIMUM_ACCOUNTS)),
  /** Set by an entry that was asked in place of the one that it asks now. */
  isForwarded: z.optional(z.boolean()),
  /** Set by an entry that takes over from the one that it asks. Builds up to 37f6d52 don't know it. */
  isTaking: z.optional(z.boolean()),
  /** Name of an entry that takes over. */
  asker: z.optional(z.string()),
});

/** Schema of the answer to it. */
export const quotaAnswerSchema = z.object({
  grants: z
    .array(
      z.object({
        account: z.string(),
        /** Undefined if the entry doesn't grant for the account. */
        granted: z.optional(countSchema),
        /** When the rest may come back, in milliseconds. */
        comeBackMs: z.optional(amountSchema),
        /** Set if the right to grant is handed over: tokens that are left. */
        released: z.optional(amountSchema),
      }),
    )
    .check(z.maxLength(MAXIMUM_ACCOUNTS)),
});

/** Schema of the demand of a region, and of the answer with that of the region that was told. */
export const quotaDemandSchema = z.object({
  region: z.string(),
  demands: z
    .array(
      z.object({
        account: z.string(),
        perSecond: amountSchema,
        /** Set by an entry that has just begun to grant: what its region told before still counts. */
        isStart: z.optional(z.boolean()),
        /** Tokens that the telling region wants to borrow. */
        wanted: z.optional(countSchema),
        /** In answers: tokens that the region lends. */
        lent: z.optional(countSchema),
        /** In answers: the demand of the telling region that counts now. */
        knownPerSecond: z.optional(amountSchema),
      }),
    )
    .check(z.maxLength(MAXIMUM_ACCOUNTS)),
});

/** A query. */
export type QuotaQuery = z.infer<typeof quotaQuerySchema>;

/** The answer to a query. */
export type QuotaAnswer = z.infer<typeof quotaAnswerSchema>;

/** The demand of a region. */
export type QuotaDemandMessage = z.infer<typeof quotaDemandSchema>;

/** Serializes a query; counts beyond the maximum are cut, and refused by that. */
export function serializeQuotaQuery({asks, ...rest}: QuotaQuery): string {
  const bounded = asks.slice(0, MAXIMUM_ACCOUNTS).map(({account, count}) => ({
    account,
    count: Math.min(count, MAXIMUM_COUNT),
  }));
  return JSON.stringify({asks: bounded, ...rest});
}

/** Serializes an answer. */
export function serializeQuotaAnswer(answer: QuotaAnswer): string {
  return JSON.stringify(answer);
}

/** Serializes the demand of a region. */
export function serializeQuotaDemand(message: QuotaDemandMessage): string {
  const demands = message.demands.slice(0, MAXIMUM_ACCOUNTS);
  return JSON.stringify({...message, demands});
}
