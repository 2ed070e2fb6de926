/** Messages by which entries tell each other of the limits that upstreams name. */

import {durationMsSchema} from '@wasabidyke/shared';
import * as z from 'zod/mini';

/** Path at which an entry takes limits from other entries. */
export const LIMITS_PATH = '/v1/limits';

/** Maximum number of limits in one message. */
const MAXIMUM_LIMITS = 256;

/** Maximum size of a message, in bytes: that many limits with long names. */
export const MAXIMUM_LIMITS_BYTES = 65_536;

/** Schema of a message. */
export const limitsSchema = z.object({
  limits: z
    .array(
      z.object({
        upstream: z.string(),
        /** Null if the upstream answered without naming a limit. */
        requestsPerSecond: z.nullable(z.number().check(z.minimum(0))),
        /** Time since the upstream answered, in milliseconds. */
        ageMs: durationMsSchema,
      }),
    )
    .check(z.maxLength(MAXIMUM_LIMITS)),
});

/** A message. */
export type LimitsMessage = z.infer<typeof limitsSchema>;

/** Serializes limits; those beyond the maximum are told with later changes. */
export function serializeLimits({limits}: LimitsMessage): string {
  return JSON.stringify({limits: limits.slice(0, MAXIMUM_LIMITS)});
}
