/** What a caller stand-in is to do. */

import {z} from 'zod';

/** Rules of requests, as the manifest names them. */
export const ruleSchema = z.enum(['idempotent', 'at-most-once', 'bulk']);

/** How a request ends the worker that runs it. */
export const endingSchema = z.strictObject({
  /** Time from the begin of the run to the end, in milliseconds. */
  afterMs: z.int().min(0),
  /** Whether the worker writes the head and a part of its answer first. */
  isWithinAnswer: z.boolean(),
});

/** One request of a plan. */
export const plannedRequestSchema = z.strictObject({
  /** Identity; further ones are derived from it where the caller begins anew. */
  request: z.string().regex(/^[a-z0-9-]+$/),
  /** When to send it, in milliseconds after the start. */
  atMs: z.number().min(0),
  service: z.string(),
  method: z.enum(['GET', 'POST']),
  /** Path below the service's prefix. */
  path: z.string().startsWith('/'),
  rule: ruleSchema,
  /** Size of the request's body. */
  bodyBytes: z.int().min(0).default(0),
  /** Time over which the body is sent. */
  uploadMs: z.number().min(0).default(0),
  /** Size of the payload to answer with. */
  payloadBytes: z.int().min(0).default(64),
  /** Time that the run is to take; the worker's own where absent. */
  workMs: z.int().min(0).optional(),
  /** Stated to the system, and kept by the caller with some time added. */
  timeoutMs: z.int().min(1).default(5_000),
  /** Attempts at most. */
  attempts: z.int().min(1).default(4),
  /** The caller gives its first attempt up after this time, or each one that is the very same request. */
  cancelAfterMs: z.number().min(0).optional(),
  /** Shortest pause between attempts. */
  pauseMs: z.number().min(0).default(0),
  /** How the request ends a worker that crashes under it. */
  ending: endingSchema.optional(),
  /** Sends the second attempt to another entry while the first is under way. */
  isDuplicated: z.boolean().default(false),
  /** Sends another attempt after the answer, as if the answer had been lost. */
  isResentAfterAnswer: z.boolean().default(false),
  /** Each resend is the very same request, also of an idempotent kind. */
  isSameAgain: z.boolean().default(false),
});

/** Settings of a caller's process. */
export const callerSettingsSchema = z.strictObject({
  process: z.string().min(1),
  seed: z.int(),
  historyFile: z.string().optional(),
  /** Addresses of entries to ask for the list at first. */
  entries: z.array(z.string()).min(1),
  /** Whether the list is kept for all of its age, or asked for anew at half of it. */
  keepsOldList: z.boolean().default(false),
  /** Share of requests sent to another entry than the best. */
  spreadShare: z.number().min(0).max(1).default(0.5),
  requests: z.array(plannedRequestSchema).max(100_000),
});

/** One request of a plan. */
export type PlannedRequest = z.infer<typeof plannedRequestSchema>;

/** Settings of a caller's process. */
export type CallerSettings = z.infer<typeof callerSettingsSchema>;
