/** How the time is divided that an entry has from the stop signal until it is killed. */

/** Share of the time in which callers with an older list of entries are still served. */
export const DRAINING_SHARE = 0.5;

/** The process exits by itself this long before it would be killed, in milliseconds. */
export const EXIT_MARGIN_MS = 400;

/** Time for the last answers to be written, in milliseconds: a part of `EXIT_MARGIN_MS`. */
export const LAST_ANSWERS_MS = 100;
