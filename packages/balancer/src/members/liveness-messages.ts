/** Messages by which entries check each other and tell each other which entries are down. */

import type {LivenessStatement} from '@wasabidyke/policy';
import {startTimeSchema} from '@wasabidyke/shared';
import * as z from 'zod/mini';

/** Path at which entries exchange statements; an answer shows that the entry runs. */
export const LIVENESS_PATH = '/v1/liveness';

/** Path at which an entry is asked to check a third one. */
export const CHECK_PATH = '/v1/liveness/check';

/** Maximum number of statements in one message: more than there are entries at the size aimed for. */
const MAXIMUM_STATEMENTS = 1_024;

/** Maximum size of a message, in bytes: that many statements with long names. */
export const MAXIMUM_LIVENESS_BYTES = 262_144;

/** Schema of the statements in messages and answers. */
export const statementsSchema = z.object({
  statements: z
    .array(
      z.object({
        name: z.string(),
        sequence: startTimeSchema,
        isUp: z.boolean(),
        reporter: z.string(),
      }),
    )
    .check(z.maxLength(MAXIMUM_STATEMENTS)),
});

/** Schema of the question whether an entry can be reached. */
export const checkSchema = z.object({target: z.string()});

/** Schema of the answer to it; neither is set if the entry that was asked doesn't know the other. */
export const opinionSchema = z.object({
  isReachable: z.optional(z.boolean()),
});

/** Serializes statements. */
export function serializeStatements(
  statements: readonly LivenessStatement[],
): string {
  return JSON.stringify({statements: statements.slice(0, MAXIMUM_STATEMENTS)});
}
