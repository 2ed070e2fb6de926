/** Record with which an upstream announces itself. */

import {
  durationMsSchema,
  hostAddressSchema,
  sequenceSchema,
  slotsSchema,
  startTimeSchema,
} from '@wasabidyke/shared';
import * as z from 'zod/mini';

/** Schema of `UpstreamRecord`. */
export const upstreamRecordSchema = z.object({
  /** Changes with each start, except for upstreams that restart under their former identity. */
  id: z.string(),
  /** Start time; distinguishes two starts under one identity. */
  startedAtEpochMs: z.optional(startTimeSchema),
  /** Increases with each announcement of one start. */
  sequence: sequenceSchema,
  service: z.string(),
  /** IP address and port. */
  address: hostAddressSchema,
  zone: z.string(),
  /** Requests that the upstream serves at once. */
  slots: slotsSchema,
  /** Whether it takes no new requests. */
  isDraining: z.boolean(),
  /** Remaining time for which the upstream is slow after its start, in milliseconds. */
  warmUpLeftMs: durationMsSchema,
});

/** Schema of a start of an upstream that has left, as one entry tells another. */
export const departedStartSchema = z.extend(
  z.pick(upstreamRecordSchema, {
    id: true,
    startedAtEpochMs: true,
    sequence: true,
    service: true,
    address: true,
    isDraining: true,
  }),
  {
    /** Time since it left, in milliseconds. */
    ageMs: durationMsSchema,
  },
);

/** A start that has left; `isDraining` if it has said so. */
export type DepartedStart = z.infer<typeof departedStartSchema>;

/** Announcement of an upstream. */
export type UpstreamRecord = z.infer<typeof upstreamRecordSchema>;
