/**
 * Keeps the requests per second that an upstream takes from all entries
 * together: the smaller one of the limit that it names and of its rate in
 * warm-up. A few entries, chosen by a hash of both names, divide most of it
 * among themselves. The others send nothing. Only of a limit that the upstream
 * names, whose end is not known, they send a single request now and then, each
 * at a time of its own, by which they find out whether it still holds. All that
 * entries must agree on is which of them are up.
 */

import {SECOND_MS} from '@wasabidyke/shared';
import type {EntryLists} from './entry-lists.js';
import type {LimitDivision} from './limit-division.js';
import {NAMED_LIMIT_SHARE, NamedLimitDivision} from './named-limit-division.js';
import type {RandomSource} from './selection.js';
import {TokenBucket} from './token-bucket.js';
import {WarmUpDivision} from './warm-up-division.js';
import type {WarmUp} from './warm-up.js';

/** Options of `RequestLimit`. */
export interface RequestLimitOptions {
  readonly upstream: string;
  /** Availability zone and region of the upstream. */
  readonly zone: string;
  readonly region: string | undefined;
  /** This entry. */
  readonly entry: string;
  /** The entries that are up. */
  readonly entries: EntryLists;
  /** The warm-up of the upstream. */
  readonly warmUp: WarmUp;
  readonly random: RandomSource;
}

/** Where a limit was heard of. */
export interface LimitObservation {
  /** Undefined if the upstream answered without naming a limit. */
  readonly requestsPerSecond: number | undefined;
  /** When the upstream answered, on the monotonic clock in milliseconds. */
  readonly observedAtMs: number;
}

/** Smallest limit that is applied, in requests per second: with less, nobody would find out that it ended. */
const MINIMUM_PER_SECOND = 0.05;

const PERMILLE = 1_000;

/** A time in which one request may find out whether the limit still holds. */
interface Trial {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** What a division was made of. */
interface DivisionBasis {
  /** Requests per second from all entries; undefined if there is no limit. */
  readonly limit: number | undefined;
  readonly isCold: boolean;
  /** Version of the lists of entries. */
  readonly version: number;
}

/** The limit of one upstream, as one entry keeps it. */
export class RequestLimit {
  readonly #options: RequestLimitOptions;
  readonly #namedLimitDivision: NamedLimitDivision;
  readonly #warmUpDivision: WarmUpDivision;
  #observation: LimitObservation = {
    requestsPerSecond: undefined,
    observedAtMs: -Infinity,
  };
  #basis: DivisionBasis = {limit: undefined, isCold: false, version: 0};
  /** Set at a chosen entry. */
  #bucket: TokenBucket | undefined;
  #ownPerSecond = 0;
  /** Set at an entry that isn't chosen. */
  #trial: Trial | undefined;
  /** Whether this entry has sent the upstream anything. */
  #hasSent = false;

  constructor(options: RequestLimitOptions) {
    this.#options = options;
    this.#namedLimitDivision = new NamedLimitDivision(options);
    this.#warmUpDivision = new WarmUpDivision(options);
  }

  /** The limit that the upstream names, in requests per second; undefined if there is none. */
  get requestsPerSecond(): number | undefined {
    return this.#observation.requestsPerSecond;
  }

  get observedAtMs(): number {
    return this.#observation.observedAtMs;
  }

  /** The warm-up of the upstream. */
  get warmUp(): WarmUp {
    return this.#options.warmUp;
  }

  /** The smaller one of the limit that the upstream names and of its rate in warm-up, in requests per second; undefined if there is neither. */
  appliedPerSecond(nowMs: number): number | undefined {
    const named = this.requestsPerSecond;
    const warmUp = this.#options.warmUp.requestsPerSecond(nowMs);
    return named === undefined || warmUp === undefined
      ? (named ?? warmUp)
      : Math.min(named, warmUp);
  }

  /** Requests per second that this entry may send; 0 if it isn't chosen, or there is no limit. */
  ownPerSecond(nowMs: number): number {
    this.#refresh(nowMs);
    return this.#ownPerSecond;
  }

  /** Whether this entry should try an upstream that is new to it: not if the upstream has a warm-up of which the entry holds no part. */
  mayTryNew(nowMs: number): boolean {
    const {warmUp, entries} = this.#options;
    const rate = warmUp.configuredPerSecond;
    return (
      rate === undefined ||
      this.#warmUpDivision.ownPerSecond(rate, entries, nowMs) > 0
    );
  }

  /** Takes what the upstream said last. Returns whether it changes anything. */
  observe(observation: LimitObservation, nowMs: number): boolean {
    const {requestsPerSecond, observedAtMs} = this.#observation;
    if (observation.observedAtMs <= observedAtMs) {
      return false;
    }
    this.#observation = observation;
    if (observation.requestsPerSecond === requestsPerSecond) {
      return false;
    }
    this.#refresh(nowMs);
    return true;
  }

  /** Whether a request may be sent now. */
  has(nowMs: number): boolean {
    this.#refresh(nowMs);
    if (this.#basis.limit === undefined) {
      return true;
    }
    if (this.#bucket !== undefined) {
      return this.#bucket.has(1, nowMs);
    }
    if (this.#trial !== undefined && nowMs >= this.#trial.untilMs) {
      // Unused ones don't add up: many entries would use them at the same time.
      this.#trial = this.#drawTrial(nowMs);
    }
    return this.#trial !== undefined && nowMs >= this.#trial.fromMs;
  }

  /** Takes the right to send one request. Returns false if there is none. */
  take(nowMs: number): boolean {
    if (!this.has(nowMs)) {
      return false;
    }
    this.#hasSent = true;
    this.#bucket?.take(1, nowMs);
    this.#trial = this.#trial && this.#drawTrial(nowMs);
    return true;
  }

  /** Divides anew if the limit, or what the division depends on, has changed. */
  #refresh(nowMs: number): void {
    const applied = this.appliedPerSecond(nowMs);
    const {limit, isCold, version} = this.#basis;
    if (applied === undefined && limit === undefined) {
      return;
    }
    const {entries, warmUp} = this.#options;
    const isColdNow = warmUp.isCold(nowMs);
    const basis = {
      limit:
        applied === undefined
          ? undefined
          : Math.max(applied, MINIMUM_PER_SECOND),
      isCold: isColdNow,
      version: isColdNow
        ? entries.recentVersion(nowMs)
        : entries.currentVersion,
    };
    const isSame =
      basis.limit === limit &&
      basis.isCold === isCold &&
      basis.version === version;
    if (!isSame) {
      this.#basis = basis;
      this.#divide(nowMs);
    }
  }

  #divide(nowMs: number): void {
    const {limit, isCold} = this.#basis;
    if (limit === undefined) {
      this.#bucket = undefined;
      this.#trial = undefined;
      this.#ownPerSecond = 0;
      return;
    }
    const {entries} = this.#options;
    // The division of the warm-up keeps the stricter bound, whichever rate is the smaller one.
    const division: LimitDivision = isCold
      ? this.#warmUpDivision
      : this.#namedLimitDivision;
    const ratePerSecond = division.ownPerSecond(limit, entries, nowMs);
    this.#ownPerSecond = ratePerSecond;
    if (ratePerSecond === 0) {
      this.#bucket = undefined;
      this.#trial = division.hasTrials ? this.#drawTrial(nowMs) : undefined;
      return;
    }
    this.#trial = undefined;
    this.#setRate(ratePerSecond, division, nowMs);
  }

  #setRate(
    ratePerSecond: number,
    {burstMs}: LimitDivision,
    nowMs: number,
  ): void {
    if (this.#bucket !== undefined && this.#bucket.capacityMs === burstMs) {
      this.#bucket.applyRate(ratePerSecond, nowMs);
      return;
    }
    // An upstream that is new gets its first request without delay.
    const isNew = burstMs === this.#warmUpDivision.burstMs && !this.#hasSent;
    const aheadMs = isNew ? SECOND_MS / ratePerSecond : 0;
    this.#bucket = new TokenBucket({
      ratePerSecond,
      capacityMs: burstMs,
      minimumCapacity: 1,
      nowMs: nowMs - aheadMs,
    });
  }

  /** On average one entry at a time may find out whether the limit still holds. */
  #drawTrial(nowMs: number): Trial {
    const limit = this.#basis.limit ?? MINIMUM_PER_SECOND;
    const lengthMs = SECOND_MS / (limit * (1 - NAMED_LIMIT_SHARE));
    const others = Math.max(1, this.#options.entries.current.length);
    const draw = this.#options.random.nextBelow(PERMILLE) / PERMILLE;
    const fromMs = nowMs + others * lengthMs * (1 + draw);
    return {fromMs, untilMs: fromMs + lengthMs};
  }
}
