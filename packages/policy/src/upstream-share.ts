/**
 * The share of its usual work that an upstream is given: less after failures,
 * for a moment after shedding, and while it is new.
 */

/** Half-life of what failures cost an upstream, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 3_000;

/** Half-life of what shedding costs an upstream, in milliseconds. */
const SHED_HALF_LIFE_MS = 50;

/** Factor on the share for each failure that has not faded. */
const SHARE_PER_FAILURE = 1 / 4;

/** Factor on the share for each shed request that has not faded. */
const SHARE_PER_SHED = 1 / 4;

/** Most failures, and most shed requests, that are counted at the same time. */
const MAXIMUM_COUNTED = 8;

/** Part of the counted failures that one answer leaves. */
const FAILURES_LEFT_BY_ANSWER = 0.5;

/** Below this a count is taken as faded. */
const FADED = 0.01;

/** Smallest share: an upstream is never forgotten altogether. */
const MINIMUM_SHARE = 0.004;

/** Time until a new upstream has its whole share, in milliseconds. */
export const RAMP_DURATION_MS = 10_000;

/** Share of a new upstream at the start of its ramp. */
const RAMP_START_SHARE = 0.1;

/** A count that falls by half in each half-life. */
class FadingCount {
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
    if (value < FADED) {
      this.#value = 0;
      return 0;
    }
    return value;
  }

  increase(nowMs: number): void {
    this.#value = Math.min(MAXIMUM_COUNTED, this.valueAt(nowMs) + 1);
    this.#changedAtMs = nowMs;
  }

  scale(factor: number): void {
    this.#value *= factor;
  }
}

/** The share of its usual work that an upstream is given. */
export class UpstreamShare {
  readonly #failures = new FadingCount(FAILURE_HALF_LIFE_MS);
  readonly #sheds = new FadingCount(SHED_HALF_LIFE_MS);
  #rampStartMs: number | undefined;

  /** The share at `nowMs`: above 0, and 1 for an upstream in good order. */
  at(nowMs: number): number {
    const failures = this.#failures.valueAt(nowMs);
    const sheds = this.#sheds.valueAt(nowMs);
    let share = this.#toRampShare(nowMs);
    if (failures > 0) {
      share *= SHARE_PER_FAILURE ** failures;
    }
    if (sheds > 0) {
      share *= SHARE_PER_SHED ** sheds;
    }
    return Math.max(MINIMUM_SHARE, share);
  }

  /** The upstream is new, or has come back: its share rises from now on. */
  beginRamp(nowMs: number): void {
    this.#rampStartMs = nowMs;
  }

  /** A request has failed, however fast. */
  onFailure(nowMs: number): void {
    this.#failures.increase(nowMs);
  }

  /** The upstream has refused a request. */
  onShed(nowMs: number): void {
    this.#sheds.increase(nowMs);
  }

  /** The upstream has answered. */
  onAnswer(): void {
    this.#failures.scale(FAILURES_LEFT_BY_ANSWER);
  }

  #toRampShare(nowMs: number): number {
    if (this.#rampStartMs === undefined) {
      return 1;
    }
    const part = (nowMs - this.#rampStartMs) / RAMP_DURATION_MS;
    if (part >= 1) {
      this.#rampStartMs = undefined;
      return 1;
    }
    return RAMP_START_SHARE + (1 - RAMP_START_SHARE) * Math.max(0, part);
  }
}
