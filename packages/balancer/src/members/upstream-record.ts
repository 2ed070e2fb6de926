/** An upstream as it announces itself. */

import * as z from 'zod/mini';

/** What an upstream announces. */
export const upstreamRecordSchema = z.object({
  /** Changes with each start, but for those that start again under their former identity. */
  id: z.string(),
  /** Time of its start; tells two starts under one identity apart. */
  startedAtEpochMs: z.optional(z.number()),
  /** Rises with each announcement of one start. */
  sequence: z.number(),
  service: z.string(),
  /** IP address and port. */
  address: z.string(),
  zone: z.string(),
  slots: z.int().check(z.minimum(1)),
  /** Whether it takes no new requests. */
  isDraining: z.boolean(),
  /** How much longer it is slow after its start, in milliseconds. */
  warmUpLeftMs: z.number().check(z.minimum(0)),
});

/** What an upstream announces. */
export type UpstreamRecord = z.infer<typeof upstreamRecordSchema>;
