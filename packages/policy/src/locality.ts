/** Keeps requests near: same availability zone, then the region, then other regions. */

import {SECOND_MS} from '@wasabidyke/shared';
import type {RandomSource} from './selection.js';
import type {Distance, UpstreamLoad} from './upstream-load.js';

/** Distances from near to far. */
const DISTANCES: readonly Distance[] = [
  'same-zone',
  'same-region',
  'other-region',
];

/** Pressure above which the share that spills rises. */
const HIGH_PRESSURE = 0.95;

/** Pressure below which the share that spills falls. */
const LOW_PRESSURE = 0.7;

/** How fast the share that spills rises, per second. */
const RISE_PER_SECOND = 0.5;

/** How fast the share that spills falls, per second. */
const FALL_PER_SECOND = 0.1;

/** Time constant of the moving average of pressure, in milliseconds. */
const PRESSURE_TIME_CONSTANT_MS = 500;

/** Longest time that one step takes account of, in milliseconds. */
const MAXIMUM_STEP_MS = 200;

/** Steps into which a share is divided when drawn. */
const SHARE_STEPS = 1_024;

/** Candidates at one distance, and what spills from them to the next. */
class Tier {
  readonly candidates: UpstreamLoad[] = [];
  #pressure = 0;
  #spillShare = 0;

  /** Used part of the slots here, as a moving average; 1 when all are used or failing. */
  get pressure(): number {
    return this.#pressure;
  }

  get spillShare(): number {
    return this.#spillShare;
  }

  /** Follows the pressure. @param canSpill Whether the next distance has room. */
  step(stepMs: number, nowMs: number, canSpill: boolean): void {
    const part = 1 - Math.exp(-stepMs / PRESSURE_TIME_CONSTANT_MS);
    const pressure = toMeanPressure(this.candidates, nowMs);
    this.#pressure += part * (pressure - this.#pressure);
    const seconds = stepMs / SECOND_MS;
    if (this.#pressure > HIGH_PRESSURE && canSpill) {
      this.#spillShare = Math.min(
        1,
        this.#spillShare + RISE_PER_SECOND * seconds,
      );
    } else if (this.#pressure < LOW_PRESSURE || !canSpill) {
      this.#spillShare = Math.max(
        0,
        this.#spillShare - FALL_PER_SECOND * seconds,
      );
    }
  }
}

/**
 * Narrows the candidates of one service to one distance. Work goes further only
 * where nothing nearer can take it, or by a share that rises while the nearer
 * ones are measured to be full and falls slowly once they are well below that;
 * between the two marks it stays, so that work does not swing. A distance that
 * is full itself is given no more.
 */
export class LocalityFilter {
  readonly #random: RandomSource;
  readonly #tiers = DISTANCES.map(() => new Tier());
  #steppedAtMs: number | undefined;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** The share of requests that leaves `distance` for the next one, from 0 to 1. */
  spillShareOf(distance: Distance): number {
    return this.#tiers[DISTANCES.indexOf(distance)].spillShare;
  }

  /**
   * Narrows `candidates` to those of one distance.
   * @param nowMs This process's monotonic clock.
   * @returns A list that is valid until the next call; empty only when `candidates` is.
   */
  filter(
    candidates: readonly UpstreamLoad[],
    nowMs: number,
  ): readonly UpstreamLoad[] {
    this.#fill(candidates);
    this.#step(nowMs);
    let chosen: readonly UpstreamLoad[] = candidates;
    for (const tier of this.#tiers) {
      if (tier.candidates.length === 0) {
        continue;
      }
      chosen = tier.candidates;
      if (!this.#spills(tier)) {
        break;
      }
    }
    return chosen;
  }

  #fill(candidates: readonly UpstreamLoad[]): void {
    for (const tier of this.#tiers) {
      tier.candidates.length = 0;
    }
    for (const candidate of candidates) {
      const tier = this.#tiers[DISTANCES.indexOf(candidate.distance)];
      tier.candidates.push(candidate);
    }
  }

  #step(nowMs: number): void {
    const elapsedMs = nowMs - (this.#steppedAtMs ?? nowMs);
    this.#steppedAtMs = nowMs;
    const stepMs = Math.min(MAXIMUM_STEP_MS, Math.max(0, elapsedMs));
    let canSpill = false;
    for (const tier of this.#tiers.toReversed()) {
      if (tier.candidates.length === 0) {
        continue;
      }
      tier.step(stepMs, nowMs, canSpill);
      canSpill ||= tier.pressure <= HIGH_PRESSURE;
    }
  }

  #spills(tier: Tier): boolean {
    return (
      tier.spillShare > 0 &&
      this.#random.nextBelow(SHARE_STEPS) < tier.spillShare * SHARE_STEPS
    );
  }
}

function toMeanPressure(
  candidates: readonly UpstreamLoad[],
  nowMs: number,
): number {
  let sum = 0;
  for (const candidate of candidates) {
    sum += toPressure(candidate, nowMs);
  }
  return sum / candidates.length;
}

function toPressure(candidate: UpstreamLoad, nowMs: number): number {
  const others = candidate.reportedByOthers * candidate.reportWeightAt(nowMs);
  const used = (candidate.inFlight + others) / candidate.upstream.slots;
  const lost = 1 - candidate.shareAt(nowMs);
  return Math.min(1, Math.max(used, lost));
}
