/** Where an entry has its records from. */

/** Where the records were read last, and how old they are. */
export interface RecordsOrigin {
  /** Name of the feeder, or `store`. */
  readonly feeder: string;
  /** Store revision up to which all records were read; 0 before the first read. */
  readonly revision: number;
  /** Time since the store itself last confirmed that none is missing, in milliseconds; infinite if it never did. */
  readonly ageMs: number;
  /** When the call was sent whose answer confirmed it, on the monotonic clock in milliseconds. */
  readonly askedAtMs: number;
}

/** Source of records that no other entry fed. */
export const STORE_SOURCE = 'store';
