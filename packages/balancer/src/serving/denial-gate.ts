/**
 * Decides whether a request may be denied because of the configuration, with
 * 401, 404, 413 or 431. Callers take such an answer as final and ask no other
 * entry, so it needs a configuration that is known to be the newest one.
 */

import type {Clock} from '@wasabidyke/shared';
import {PauseDetector} from './pause-detector.js';
import type {Refusal} from './routed-request.js';

/** How the store confirmed last that no record is missing. */
export interface Confirmation {
  /** Time since then, in milliseconds; infinite if it never did. */
  readonly ageMs: number;
  /** When the call was sent whose answer confirmed it, on the monotonic clock in milliseconds. */
  readonly askedAtMs: number;
}

/** Options of `DenialGate`. */
export interface DenialGateOptions {
  readonly confirmation: () => Confirmation;
  /** Whether no newer configuration was read that couldn't be applied. */
  readonly isTableNewest: () => boolean;
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
  readonly #pauses: PauseDetector;

  constructor(options: DenialGateOptions) {
    this.#options = options;
    this.#pauses = new PauseDetector(options.clock);
  }

  start(): void {
    this.#pauses.start();
  }

  stop(): void {
    this.#pauses.stop();
  }

  /** Called with each request before it is served. */
  onRequest(): void {
    this.#pauses.look();
  }

  /** Whether the configuration may deny requests. An answer to a call from before a pause may have waited in the buffer all the while, and confirms nothing. */
  get mayDeny(): boolean {
    const {confirmation, isTableNewest} = this.#options;
    const {ageMs, askedAtMs} = confirmation();
    return (
      isTableNewest() &&
      ageMs <= MAXIMUM_DENIAL_AGE_MS &&
      askedAtMs >= this.#pauses.resumedAtMs
    );
  }
}
