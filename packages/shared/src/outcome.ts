/** Outcome of a request as reported to its caller. */

import {z} from 'zod';

/** Whether a request was executed; `unknown` when the system cannot tell. */
export const outcomeSchema = z.enum(['ran', 'not-run', 'unknown']);

/** Whether a request was executed; `unknown` when the system cannot tell. */
export type Outcome = z.infer<typeof outcomeSchema>;
