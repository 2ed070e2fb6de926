/** Faults that the store stand-in can be told to show. */

import {z} from 'zod';

/** The calls that the stand-in serves, by the names that faults and counts use. */
export const storeCallSchema = z.enum([
  'range',
  'transaction',
  'lease-grant',
  'lease-keepalive',
  'lease-revoke',
  'watch',
]);

/** A call that the stand-in serves. */
export type StoreCall = z.infer<typeof storeCallSchema>;

/** Faults; what is left out is not at fault. */
export const storeFaultsSchema = z.strictObject({
  /** `refused`: connections are refused; `held`: calls are never answered nor run. */
  down: z.enum(['no', 'refused', 'held']).default('no'),
  /** Wait before each call takes effect, in milliseconds. */
  delayMs: z.int().min(0).max(600_000).default(0),
  /** The calls that wait; all unless stated. */
  delayedCalls: z.array(storeCallSchema).default([...storeCallSchema.options]),
  /** How many next answers are lost after the call took effect; -1 for all. */
  lostAnswers: z.int().min(-1).default(0),
  /** The calls whose answers are lost. */
  lostCalls: z.array(storeCallSchema).default(['transaction']),
  /** `down` from the moment on at which an answer was lost. */
  downAfterLostAnswer: z.enum(['no', 'refused', 'held']).default('no'),
  /** Reads are served as of this revision. */
  staleRevision: z.int().min(0).optional(),
  /** Answers every call with this in place of serving it. */
  fixedAnswer: z
    .strictObject({status: z.int().min(200).max(599), body: z.string()})
    .optional(),
});

/** Faults of the store stand-in. */
export type StoreFaults = z.infer<typeof storeFaultsSchema>;

/** No fault at all. */
export const NO_STORE_FAULTS: StoreFaults = storeFaultsSchema.parse({});
