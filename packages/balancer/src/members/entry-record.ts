/** Record with which an entry announces itself to the others. */

import {hostAddressSchema, startTimeSchema} from '@wasabidyke/shared';
import * as z from 'zod/mini';

/** Schema of `EntryRecord`. */
export const entryRecordSchema = z.object({
  name: z.string(),
  /** IP address and port to which callers connect. */
  address: hostAddressSchema,
  /** IP address and port at which the entry serves store records to other entries. */
  feedAddress: z.optional(hostAddressSchema),
  region: z.string(),
  zone: z.string(),
  /** Orders what is said of the entry: higher in each process, and raised when the entry takes back a wrong statement. */
  sequence: z.optional(startTimeSchema),
  /** Whether the entry tells its followers the era of the store. Builds up to d49f6ce don't. */
  tellsEra: z.catch(z.optional(z.boolean()), undefined),
  /** Whether the entry grants requests of accounts with a quota. Builds up to 0bf06d7 don't. */
  grantsQuotas: z.catch(z.optional(z.boolean()), undefined),
});

/** Announcement of an entry. */
export type EntryRecord = z.infer<typeof entryRecordSchema>;
