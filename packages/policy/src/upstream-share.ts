/**
 * The share of its normal work that an upstream is given: reduced after
 * failures, briefly after it shed a request, and during its slow start.
 */

/** Half-life of the effect of failures, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 3_000;

/** Half-life of the effect of shed requests, in milliseconds. */
const SHED_HALF_LIFE_MS = 50;

/** Factor on the share for each failure in the decaying count. */
const SHARE_PER_FAILURE = 1 / 4;

/** Factor on the share for each shed request in the decaying count. */
const SHARE_PER_SHED = 1 / 4;

/** Upper bound of each decaying count. */
const MAXIMUM_COUNT = 8;

/** Factor on the count of failures for each answer. */
const FAILURE_FACTOR_PER_ANSWER = 0.5;

/** A count below this is taken as 0. */
const NEGLIGIBLE_COUNT = 0.01;

/** Minimum share: above 0, so that a failing upstream still gets requests that can show its recovery. */
const MINIMUM_SHARE = 0.004;

/** Duration of the slow start of a new upstream, until its share is 1, in milliseconds. */
export const RAMP_DURATION_MS = 10_000;

/** Share at the beginning of the slow start. */
const RAMP_START_SHARE = 0.1;

/** A count that decays exponentially. */
class DecayingCount {
  readonly #halfLifeMs: number;
  #value = 0;
  #changedAtMs = 0;

  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  valueAt(nowMs: number): number {
    if (this.#value === 0) {
      return 0;
    }
    const ageMs = Math.max(0, nowMs - this.#changedAtMs);
    const value = this.#value * 2 ** (-ageMs / this.#halfLifeMs);
    if (value < NEGLIGIBLE_COUNT) {
      this.#value = 0;
      return 0;
    }
    return value;
  }

  increase(nowMs: number): void {
    this.#value = Math.min(MAXIMUM_COUNT, this.valueAt(nowMs) + 1);
    this.#changedAtMs = nowMs;
  }

  scale(factor: number): void {
    this.#value *= factor;
  }
}

/** The share of its normal work that an upstream is given. */
export class UpstreamShare {
  readonly #failures = new DecayingCount(FAILURE_HALF_LIFE_MS);
  readonly #sheds = new DecayingCount(SHED_HALF_LIFE_MS);
  #rampStartedAtMs: number | undefined;

  /** Returns the share at `nowMs`: above 0, and 1 for a healthy upstream. */
  at(nowMs: number): number {
    const failures = this.#failures.valueAt(nowMs);
    const sheds = this.#sheds.valueAt(nowMs);
    let share = this.#computeRampShare(nowMs);
    if (failures > 0) {
      share *= SHARE_PER_FAILURE ** failures;
    }
    if (sheds > 0) {
      share *= SHARE_PER_SHED ** sheds;
    }
    return Math.max(MINIMUM_SHARE, share);
  }

  /** Starts the slow start of an upstream that is new or available again. */
  beginRamp(nowMs: number): void {
    this.#rampStartedAtMs = nowMs;
  }

  /** Called when a request has failed, however fast. */
  onFailure(nowMs: number): void {
    this.#failures.increase(nowMs);
  }

  /** Called when the upstream has shed a request. */
  onShed(nowMs: number): void {
    this.#sheds.increase(nowMs);
  }

  /** Called when the upstream has answered. */
  onAnswer(): void {
    this.#failures.scale(FAILURE_FACTOR_PER_ANSWER);
  }

  #computeRampShare(nowMs: number): number {
    if (this.#rampStartedAtMs === undefined) {
      return 1;
    }
    const progress = (nowMs - this.#rampStartedAtMs) / RAMP_DURATION_MS;
    if (progress >= 1) {
      this.#rampStartedAtMs = undefined;
      return 1;
    }
    return RAMP_START_SHARE + (1 - RAMP_START_SHARE) * Math.max(0, progress);
  }
}
