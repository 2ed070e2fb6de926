/** An entry as it announces itself to the others. */

import * as z from 'zod/mini';

/** What an entry announces. */
export const entryRecordSchema = z.object({
  name: z.string(),
  /** Where callers connect. */
  address: z.string(),
  /** Where other entries of its availability zone ask it for records. */
  feedAddress: z.optional(z.string()),
  region: z.string(),
  zone: z.string(),
});

/** What an entry announces. */
export type EntryRecord = z.infer<typeof entryRecordSchema>;
