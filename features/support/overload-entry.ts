/** What one entry of the simulation knows, and what it decides by it. */

import {
  expectedLoss,
  GroupFailureShare,
  OverloadAdmission,
  RepeatBudget,
  UpstreamStatistics,
  ValueAdmission,
  WorkEstimate,
  type ConsideredCapacity,
  type RandomSource,
  type ServiceAdmission,
} from '@wasabidyke/policy';
import type {SimulatedKind} from './overload-upstream.js';

/** Options of `SimulatedEntry`. */
export interface SimulatedEntryOptions {
  readonly kinds: readonly SimulatedKind[];
  readonly entries: number;
  readonly slots: number;
  readonly upstreams: number;
  readonly roundTripMs: number;
  /** Whether the entry admits by value. */
  readonly isValueBased: boolean;
  readonly random: RandomSource;
}

/** A request at the time of a decision on it. */
export interface SimulatedQuery {
  readonly nowMs: number;
  readonly kind: SimulatedKind;
  readonly targetRemainingMs: number;
  readonly remainingMs: number;
}

/** The best upstream for a request. */
export interface SimulatedChoice {
  readonly index: number;
  readonly workMs: number;
  readonly considered: ConsideredCapacity;
}

/** The limit on retries of all entries, as on the users' sites. */
const REPEATS = {ratio: 0.2, slack: 10, windowMs: 10_000};

const TIE_MARGIN = 0.01;
const COSTS = {crossZonePerMegabyte: 0, crossRegionPerMegabyte: 0};

/** An entry of the simulation. */
export class SimulatedEntry {
  readonly statistics: readonly UpstreamStatistics[];
  readonly admission: ServiceAdmission;
  readonly failures = new GroupFailureShare();
  readonly repeats: RepeatBudget;
  readonly work: ReadonlyMap<SimulatedKind, WorkEstimate>;
  readonly #random: RandomSource;

  constructor(options: SimulatedEntryOptions) {
    const {kinds, slots, upstreams, roundTripMs, random} = options;
    this.#random = random;
    this.statistics = Array.from(
      {length: upstreams},
      () =>
        new UpstreamStatistics(
          'same-region',
          roundTripMs,
          slots,
          this.failures,
        ),
    );
    this.repeats = new RepeatBudget({
      ...REPEATS,
      entries: options.entries,
    });
    this.admission = options.isValueBased
      ? new ValueAdmission(random)
      : new OverloadAdmission(random);
    this.work = new Map(
      kinds.map(kind => [kind, new WorkEstimate(kind.targetMs)]),
    );
  }

  /** Selects one of the upstreams as the product does. */
  select(indices: readonly number[], query: SimulatedQuery): SimulatedChoice {
    const {nowMs, kind, targetRemainingMs, remainingMs} = query;
    const workMs = this.work.get(kind)?.workMs ?? kind.workMs;
    const considered = {slots: 0, freeSlots: 0};
    const losses = indices.map(index => {
      const statistics = this.statistics[index];
      considered.slots += statistics.slots - statistics.slowingSlots;
      considered.freeSlots += statistics.usableSlots({
        nowMs,
        workMs,
        targetRemainingMs,
      });
      return expectedLoss({
        targetRemainingMs,
        remainingMs,
        estimateMs: statistics.estimateMs({nowMs, workMs}),
        failureShare: statistics.failureShare(nowMs),
        distance: 'same-region',
        bytes: 0,
        costs: COSTS,
      });
    });
    const smallest = Math.min(...losses);
    const tied = indices.filter(
      (_, position) => losses[position] <= smallest + TIE_MARGIN,
    );
    const index = tied[this.#random.nextBelow(tied.length)];
    return {index, workMs, considered};
  }
}
