/**
 * When an entry may deny a request because of its configuration, with 401, 404,
 * 413 or 431. Callers take such an answer as final and ask no other entry, so it
 * needs a configuration that is known to be the newest one.
 */

import type {Refusal} from './routed-request.js';

/** Oldest confirmation by the store of a configuration that denies requests, in milliseconds. Source: the shortest time in which sites want a configuration in force. */
export const MAXIMUM_DENIAL_AGE_MS = 2_500;

/** Delay after which a caller may try again that an entry can't deny, in milliseconds: another entry knows, or this one has asked the store again. */
const UNCONFIRMED_RETRY_AFTER_MS = 300;

/** Refusal of a request that only a configuration denies which may be outdated. */
export const UNCONFIRMED_REFUSAL: Refusal = {
  reason: 'unconfirmed-configuration',
  isNotRun: true,
  retryAfterMs: UNCONFIRMED_RETRY_AFTER_MS,
};

/** Whether the configuration may deny requests. @param recordsAgeMs Time since the store confirmed that no record is missing, in milliseconds. */
export function mayDeny(recordsAgeMs: number): boolean {
  return recordsAgeMs <= MAXIMUM_DENIAL_AGE_MS;
}
