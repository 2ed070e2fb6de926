/**
 * Decides whether a request may be denied because of the configuration, with
 * 401, 404, 413 or 431. Callers take such an answer as final and ask no other
 * entry, so it needs a configuration that is known to be the newest one.
 */

import {ElapsedClock, type Clock} from '@wasabidyke/shared';
import type {Refusal} from './routed-request.js';

/** Options of `DenialGate`. */
export interface DenialGateOptions {
  /** Time since the store confirmed that no record is missing, in milliseconds; infinite if it never did. */
  readonly recordsAgeMs: () => number;
  readonly clock: Clock;
}

/** Oldest confirmation by the store of a configuration that denies requests, in milliseconds. Source: the shortest time in which sites want a configuration in force. */
const MAXIMUM_DENIAL_AGE_MS = 2_500;

/** Delay after which a caller may try again that an entry can't deny, in milliseconds: another entry knows, or this one has asked the store again. */
const UNCONFIRMED_RETRY_AFTER_MS = 300;

/** Refusal of a request that only a configuration denies which may be outdated. */
export const UNCONFIRMED_REFUSAL: Refusal = {
  reason: 'unconfirmed-configuration',
  isNotRun: true,
  retryAfterMs: UNCONFIRMED_RETRY_AFTER_MS,
};

/** Knows whether the configuration is confirmed. */
export class DenialGate {
  readonly #options: DenialGateOptions;
  readonly #elapsedClock: ElapsedClock;
  #suspendedMs: number;
  /** When the last suspension was found, on the monotonic clock in milliseconds. */
  #resumedAtMs = -Infinity;

  constructor(options: DenialGateOptions) {
    this.#options = options;
    this.#elapsedClock = new ElapsedClock(options.clock);
    const {steadyMs, elapsedMs} = this.#elapsedClock.now();
    this.#suspendedMs = elapsedMs - steadyMs;
  }

  /** Finds suspensions; called with each request, since clocks also drift apart slowly. */
  onRequest(): void {
    const {steadyMs, elapsedMs} = this.#elapsedClock.now();
    const suspendedMs = elapsedMs - steadyMs;
    if (suspendedMs > this.#suspendedMs) {
      this.#suspendedMs = suspendedMs;
      this.#resumedAtMs = steadyMs;
    }
  }

  /** Whether the configuration may deny requests. The age of its confirmation lacks the time of a suspension, which counts as none since. */
  get mayDeny(): boolean {
    const ageMs = this.#options.recordsAgeMs();
    const confirmedAtMs = this.#options.clock.now() - ageMs;
    return ageMs <= MAXIMUM_DENIAL_AGE_MS && confirmedAtMs > this.#resumedAtMs;
  }
}
