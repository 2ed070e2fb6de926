/** Settings and result of one caller process. */

import {selectionPolicySchema, upstreamSchema} from '@wasabidyke/manifest';
import {z} from 'zod';
import {arrivalPatternSchema} from './arrivals.js';

/** Where a caller process sends. */
const targetSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('addresses'),
    addresses: z.array(z.string()).min(1),
    path: z.string().startsWith('/'),
  }),
  z.strictObject({
    kind: z.literal('direct'),
    policy: selectionPolicySchema,
    upstreams: z.array(upstreamSchema).min(1),
    entryCount: z.int().min(1),
    isHedged: z.boolean(),
  }),
]);

/** Settings of one caller process. */
export const callerSettingsSchema = z.strictObject({
  seed: z.int(),
  arrivals: arrivalPatternSchema,
  ratePerSecond: z.number().positive(),
  /** When to begin, in milliseconds since the Unix epoch. */
  startAtMs: z.number(),
  warmUpMs: z.number().min(0),
  rounds: z.int().min(1),
  roundMs: z.number().positive(),
  timeoutMs: z.number().positive(),
  target: targetSchema,
});

/** Settings of one caller process. */
export type CallerSettings = z.infer<typeof callerSettingsSchema>;

/** What one round of a caller process gave. */
export const callerRoundSchema = z.strictObject({
  answered: z.int(),
  refused: z.int(),
  failed: z.int(),
  /** Encoded latencies of answered requests. */
  latency: z.string(),
  /** Encoded times by which requests were sent late. */
  lateness: z.string(),
});

/** What a caller process prints. */
export const callerResultSchema = z.strictObject({
  rounds: z.array(callerRoundSchema),
});

/** What a caller process prints. */
export type CallerResult = z.infer<typeof callerResultSchema>;
