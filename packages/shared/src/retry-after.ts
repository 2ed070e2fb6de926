/** Value of the header `Retry-After`. Source: RFC 9110, section 10.2.3; fractions of a second are read as well. */

import {DAY_MS, SECOND_MS} from './units.js';

/** Longest delay that is taken as it is, in milliseconds; timers of Node.js end at 25 days. */
const MAXIMUM_DELAY_MS = DAY_MS;

/** A number of seconds that is not negative. */
const SECONDS_PATTERN = /^\d+(\.\d+)?$/;

/** A date such as `Fri, 31 Dec 2100 23:59:59 GMT`. */
const DATE_PATTERN = /^[A-Za-z]{3,9},? .*\d/;

/**
 * Returns the delay that a value states, in milliseconds; 0 if there is none or
 * it can't be read. Of several values the longest counts.
 * @param nowEpochMs Current time, to which a date is compared.
 */
export function parseRetryAfterMs(
  value: string | readonly string[] | undefined,
  nowEpochMs: number,
): number {
  const texts = typeof value === 'string' ? [value] : (value ?? []);
  return Math.max(0, ...texts.map(text => parseOne(text.trim(), nowEpochMs)));
}

function parseOne(text: string, nowEpochMs: number): number {
  if (SECONDS_PATTERN.test(text)) {
    return Math.min(Number(text) * SECOND_MS, MAXIMUM_DELAY_MS);
  }
  const atEpochMs = DATE_PATTERN.test(text) ? Date.parse(text) : NaN;
  return Number.isNaN(atEpochMs)
    ? 0
    : Math.min(atEpochMs - nowEpochMs, MAXIMUM_DELAY_MS);
}
