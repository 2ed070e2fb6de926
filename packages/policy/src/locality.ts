/** Locality-aware routing: prefers the same availability zone, then the same region, then other regions. */

import {SECOND_MS} from '@wasabidyke/shared';
import type {RandomSource} from './selection.js';
import type {Distance, UpstreamLoad} from './upstream-load.js';

/** Distances in ascending order. */
const DISTANCES: readonly Distance[] = [
  'same-zone',
  'same-region',
  'other-region',
];

/** Pressure above which the spill share rises. */
const HIGH_PRESSURE = 0.95;

/** Pressure below which the spill share falls. */
const LOW_PRESSURE = 0.7;

/** Rise of the spill share per second. */
const SPILL_RISE_PER_SECOND = 0.5;

/** Fall of the spill share per second. */
const SPILL_FALL_PER_SECOND = 0.1;

/** Time constant of the moving average of pressure, in milliseconds. */
const PRESSURE_TIME_CONSTANT_MS = 500;

/** Maximum duration of one update step, in milliseconds; a longer pause counts as this. */
const MAXIMUM_STEP_MS = 200;

/** Resolution of a share in a random draw. */
const SHARE_STEPS = 1_024;

/** Candidates at one distance, and the share of requests that spills over to the next distance. */
class Tier {
  readonly candidates: UpstreamLoad[] = [];
  #pressure = 0;
  #spillShare = 0;

  /** Moving average of the share of slots in use; 1 when all are in use or failing. */
  get pressure(): number {
    return this.#pressure;
  }

  get spillShare(): number {
    return this.#spillShare;
  }

  /** Updates pressure and spill share. @param canSpill Whether a more distant tier has free capacity. */
  step(stepMs: number, nowMs: number, canSpill: boolean): void {
    const weight = 1 - Math.exp(-stepMs / PRESSURE_TIME_CONSTANT_MS);
    const pressure = computeMeanPressure(this.candidates, nowMs);
    this.#pressure += weight * (pressure - this.#pressure);
    const seconds = stepMs / SECOND_MS;
    if (this.#pressure > HIGH_PRESSURE && canSpill) {
      this.#spillShare = Math.min(
        1,
        this.#spillShare + SPILL_RISE_PER_SECOND * seconds,
      );
    } else if (this.#pressure < LOW_PRESSURE || !canSpill) {
      this.#spillShare = Math.max(
        0,
        this.#spillShare - SPILL_FALL_PER_SECOND * seconds,
      );
    }
  }
}

/**
 * Narrows the candidates of one service to one distance. Requests go to a more
 * distant tier only if no nearer one has candidates, or by a spill share that
 * rises while the nearer tier's pressure is high and falls slowly while it is
 * low. Between the two thresholds the share stays, to avoid oscillation. Nothing
 * more spills over to tiers that are full themselves.
 */
export class LocalityFilter {
  readonly #random: RandomSource;
  readonly #tiers = DISTANCES.map(() => new Tier());
  #lastStepAtMs: number | undefined;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Returns the share of requests that spills over from `distance` to the next one, from 0 to 1. */
  spillShareOf(distance: Distance): number {
    return this.#tiers[DISTANCES.indexOf(distance)].spillShare;
  }

  /**
   * Narrows `candidates` to those of one distance.
   * @param nowMs This process's monotonic clock.
   * @returns A list that is valid until the next call; empty only if `candidates` is empty.
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
      if (!this.#shouldSpill(tier)) {
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
    const elapsedMs = nowMs - (this.#lastStepAtMs ?? nowMs);
    this.#lastStepAtMs = nowMs;
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

  #shouldSpill(tier: Tier): boolean {
    return (
      tier.spillShare > 0 &&
      this.#random.nextBelow(SHARE_STEPS) < tier.spillShare * SHARE_STEPS
    );
  }
}

function computeMeanPressure(
  candidates: readonly UpstreamLoad[],
  nowMs: number,
): number {
  let sum = 0;
  for (const candidate of candidates) {
    sum += computePressure(candidate, nowMs);
  }
  return sum / candidates.length;
}

function computePressure(candidate: UpstreamLoad, nowMs: number): number {
  const otherRequests =
    candidate.reportedOtherRequests * candidate.reportWeightAt(nowMs);
  const used = (candidate.inFlight + otherRequests) / candidate.upstream.slots;
  const withheld = 1 - candidate.shareAt(nowMs);
  return Math.min(1, Math.max(used, withheld));
}
