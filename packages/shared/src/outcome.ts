/** What a caller is told about whether its request was run. */

import {z} from 'zod';

/** Whether a request was run, as far as the system can know. */
export const outcomeSchema = z.enum(['ran', 'not-run', 'unknown']);

/** Whether a request was run, as far as the system can know. */
export type Outcome = z.infer<typeof outcomeSchema>;
