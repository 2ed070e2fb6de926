/** Record with which an upstream announces itself. */

import * as z from 'zod/mini';

/** Schema of `UpstreamRecord`. */
export const upstreamRecordSchema = z.object({
  /** Changes with each start, except for upstreams that restart under their former identity. */
  id: z.string(),
  /** Start time; distinguishes two starts under one identity. */
  startedAtEpochMs: z.optional(z.number()),
  /** Increases with each announcement of one start. */
  sequence: z.number(),
  service: z.string(),
  /** IP address and port. */
  address: z.string(),
  zone: z.string(),
  /** Requests that the upstream serves at once. */
  slots: z.int().check(z.minimum(1)),
  /** Whether it takes no new requests. */
  isDraining: z.boolean(),
  /** Remaining time for which the upstream is slow after its start, in milliseconds. */
  warmUpLeftMs: z.number().check(z.minimum(0)),
});

/** Announcement of an upstream. */
export type UpstreamRecord = z.infer<typeof upstreamRecordSchema>;
