/** Units of time in milliseconds and of size in bytes. */

/** One second in milliseconds. */
export const SECOND_MS = 1_000;

/** One minute in milliseconds. */
export const MINUTE_MS = 60 * SECOND_MS;

/** One day in milliseconds. */
export const DAY_MS = 24 * 60 * MINUTE_MS;

/** One kibibyte in bytes. */
export const KIBIBYTE = 1_024;

/** One mebibyte in bytes. */
export const MEBIBYTE = 1_024 * KIBIBYTE;
