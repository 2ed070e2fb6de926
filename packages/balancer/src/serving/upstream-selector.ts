/**
 * Selects the upstream of a request. Upstreams of this region whose last load
 * report is old get a load query, whose answers are awaited for a few
 * milliseconds; the upstream with the smallest expected loss is selected.
 * Other regions are queried only when this region is expected to answer late.
 */

import {
  expectedLoss,
  isOtherRegionWorthQuerying,
  reportWaitMs,
  type ConsideredCapacity,
  type Distance,
  type RandomSource,
  type TokenBucket,
  type TransferCosts,
  type WorkEstimate,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {Placement} from '../members/placement.js';
import type {UpstreamHandle} from '../members/upstream-handle.js';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {AllowedRegions} from '../routing/allowed-regions.js';

/** Properties of a request that decide which upstream is selected. */
export interface SelectionCriteria {
  readonly service: string;
  readonly loadPath: string;
  readonly workEstimate: WorkEstimate;
  /** When the route's target latency is over, on the monotonic clock in milliseconds. */
  readonly targetAtMs: number;
  /** On the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Size of the request's body. */
  readonly bodyBytes: number;
  /** Upstreams that earlier attempts of the request used. */
  readonly excluded: ReadonlySet<UpstreamHandle>;
  /** Whether the request may use upstreams that name a limit. */
  readonly mayUseLimited: boolean;
  /** Regions whose upstreams may serve the request. */
  readonly allowedRegions: AllowedRegions;
}

/** The selected upstream, with the estimates at the time of selection. */
export interface SelectedUpstream {
  readonly handle: UpstreamHandle;
  readonly estimateMs: number;
  /** The estimate if a slot were free. */
  readonly freeSlotEstimateMs: number;
  /** Estimated duration of the work on an undisturbed upstream. */
  readonly workMs: number;
  /** Expected loss, less the bonus of an upstream that is new to this entry. */
  readonly loss: number;
  readonly reportAgeMs: number;
  /** Estimated duration of work there, as a multiple of the usual duration. */
  readonly slowdown: number;
  readonly freeSlots: number;
  /** Share of requests that are expected to fail, from 0 to 1. */
  readonly failureShare: number;
  /** Capacity of all upstreams that it was selected from. */
  readonly considered: ConsideredCapacity;
}

/** Dependencies and limits of upstream selection. */
export interface UpstreamSelectorOptions {
  readonly registry: UpstreamRegistry;
  readonly placement: Placement;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly costs: TransferCosts;
  /** Limits the load queries of this entry. */
  readonly queryBudget: TokenBucket;
}

/** Size of a typical answer with its headers, for the estimate of transfer costs. */
const TYPICAL_ANSWER_BYTES = 1_200;

/** Load reports older than this are renewed, in milliseconds: a tenth of the time in which the load of noisy neighbours changes. */
const FRESH_REPORT_AGE_MS = 40;

/** Number of upstreams of this region that are considered first: few, so that connections to them stay open. */
const PREFERRED_UPSTREAMS = 6;

/** Expected loss from which on the other upstreams of this region are considered as well. */
const WIDER_SEARCH_LOSS = 0.12;

/** Load queries per request to other upstreams of this region. */
const REGION_QUERIES = 6;

/** Load queries per request to upstreams of other regions. */
const OTHER_REGION_QUERIES = 4;

/** Longest wait beyond one round trip for load reports from other regions, in milliseconds. */
const OTHER_REGION_MARGIN_MS = 8;

/** Taken off the loss of an upstream that has not answered this entry yet, so that new upstreams get requests. */
const NEWCOMER_BONUS = 0.05;

/** Losses that differ by no more than this count as equal; one of these upstreams is selected at random. */
const TIE_MARGIN = 0.01;

/** Selects an upstream for each attempt. */
export class UpstreamSelector {
  readonly #options: UpstreamSelectorOptions;
  #costs: TransferCosts;

  constructor(options: UpstreamSelectorOptions) {
    this.#options = options;
    this.#costs = options.costs;
  }

  /** Replaces the transfer costs. */
  applyCosts(costs: TransferCosts): void {
    this.#costs = costs;
  }

  /** Selects the upstream with the smallest expected loss; undefined if none is usable. */
  async select(
    criteria: SelectionCriteria,
  ): Promise<SelectedUpstream | undefined> {
    const {registry, clock} = this.#options;
    if (registry.hasWarmUp(criteria.service)) {
      await this.#settleWarmUps(criteria);
    }
    const usable = registry
      .list(criteria.service)
      .filter(handle => this.#isUsable(handle, criteria, clock.now()));
    const inRegion = this.#newOnesFirst(
      usable.filter(({statistics}) => isInRegion(statistics.distance)),
    );
    const preferred = inRegion.slice(0, PREFERRED_UPSTREAMS);
    await this.#queryLoads(
      preferred,
      criteria.loadPath,
      PREFERRED_UPSTREAMS,
      this.#regionWaitMs(preferred),
    );
    const bestPreferred = this.#selectBest(preferred, criteria);
    if (bestPreferred !== undefined && bestPreferred.loss < WIDER_SEARCH_LOSS) {
      return bestPreferred;
    }
    const otherInRegion = inRegion.slice(PREFERRED_UPSTREAMS);
    await this.#queryLoads(
      otherInRegion,
      criteria.loadPath,
      REGION_QUERIES,
      this.#regionWaitMs(otherInRegion),
    );
    const bestInRegion = this.#selectBest(inRegion, criteria);
    const inOtherRegions = usable.filter(
      ({statistics}) => !isInRegion(statistics.distance),
    );
    const otherRegionFailures = registry.groupFailureShare(
      criteria.service,
      'other-region',
    );
    const isRegionGoodEnough =
      bestInRegion !== undefined &&
      !isOtherRegionWorthQuerying(
        bestInRegion.loss,
        otherRegionFailures.share(clock.now()),
      );
    if (isRegionGoodEnough || inOtherRegions.length === 0) {
      return bestInRegion;
    }
    const waitMs =
      inOtherRegions[0].statistics.roundTripMs + OTHER_REGION_MARGIN_MS;
    await this.#queryLoads(
      inOtherRegions,
      criteria.loadPath,
      OTHER_REGION_QUERIES,
      waitMs,
    );
    return this.#selectBest(usable, criteria);
  }

  #regionWaitMs(handles: readonly UpstreamHandle[]): number {
    const {registry, clock} = this.#options;
    const nowMs = clock.now();
    const isSameZone = handles.every(
      ({statistics}) => statistics.distance === 'same-zone',
    );
    const {roundTripMs} = registry.roundTrip(
      isSameZone ? 'same-zone' : 'same-region',
    );
    const hasReports = handles.some(({statistics}) =>
      Number.isFinite(statistics.reportAgeMs(nowMs)),
    );
    return reportWaitMs({roundTripMs, hasReports});
  }

  /** Puts first what this entry should try since it holds a part of its warm-up rate, however many upstreams are nearer. */
  #newOnesFirst(handles: readonly UpstreamHandle[]): readonly UpstreamHandle[] {
    const nowMs = this.#options.clock.now();
    const newOnes = handles.filter(
      ({statistics, limit}) =>
        !statistics.hasServed &&
        limit.warmUp.isConfigured &&
        limit.mayTryNew(nowMs),
    );
    return newOnes.length === 0
      ? handles
      : [...newOnes, ...handles.filter(handle => !newOnes.includes(handle))];
  }

  /** Queries upstreams of which it is unknown whether they are cold: they may be usable afterwards. */
  async #settleWarmUps(criteria: SelectionCriteria): Promise<void> {
    const {registry, clock} = this.#options;
    const nowMs = clock.now();
    const handles = registry.list(criteria.service);
    const doubtful = handles.filter(
      handle =>
        handle.warmUp.warmUp.isDoubtful &&
        !handle.isDraining &&
        this.#options.placement.allows(handle, criteria.allowedRegions) &&
        handle.isResponsive(nowMs),
    );
    if (doubtful.length === 0) {
      return;
    }
    const inRegion = doubtful.filter(({statistics}) =>
      isInRegion(statistics.distance),
    );
    const inOtherRegions = doubtful.filter(
      ({statistics}) => !isInRegion(statistics.distance),
    );
    const {loadPath} = criteria;
    const waitMs =
      (inOtherRegions[0]?.statistics.roundTripMs ?? 0) + OTHER_REGION_MARGIN_MS;
    const farQueries = this.#queryLoads(
      inOtherRegions,
      loadPath,
      OTHER_REGION_QUERIES,
      waitMs,
    );
    await this.#queryLoads(
      inRegion,
      loadPath,
      PREFERRED_UPSTREAMS,
      this.#regionWaitMs(inRegion),
    );
    if (
      !handles.some(handle => this.#isUsable(handle, criteria, clock.now()))
    ) {
      await farQueries;
    }
  }

  /** Selects by current estimates; undefined if none of the upstreams is usable any more. */
  #selectBest(
    handles: readonly UpstreamHandle[],
    criteria: SelectionCriteria,
  ): SelectedUpstream | undefined {
    const nowMs = this.#options.clock.now();
    const considered = handles.filter(handle =>
      this.#isUsable(handle, criteria, nowMs),
    );
    let capacity: ConsideredCapacity | undefined;
    // Only admission by value and refusals need it.
    const toConsidered = () =>
      (capacity ??= toCapacity(considered, criteria, nowMs));
    const candidates = considered.map(handle =>
      this.#evaluate(handle, criteria, toConsidered),
    );
    if (candidates.length === 0) {
      return undefined;
    }
    const smallestLoss = Math.min(...candidates.map(({loss}) => loss));
    const tied = candidates.filter(
      ({loss}) => loss <= smallestLoss + TIE_MARGIN,
    );
    return tied[this.#options.random.nextBelow(tied.length)];
  }

  #isUsable(
    handle: UpstreamHandle,
    {excluded, mayUseLimited, allowedRegions}: SelectionCriteria,
    nowMs: number,
  ): boolean {
    const {limit} = handle;
    const isLimited = limit.appliedPerSecond(nowMs) !== undefined;
    const isWithinLimit = !isLimited || (mayUseLimited && limit.has(nowMs));
    return (
      !handle.isDraining &&
      !handle.isResting(nowMs) &&
      !excluded.has(handle) &&
      this.#options.placement.allows(handle, allowedRegions) &&
      handle.hasConnection(nowMs) &&
      isWithinLimit
    );
  }

  #evaluate(
    handle: UpstreamHandle,
    criteria: SelectionCriteria,
    toConsidered: () => ConsideredCapacity,
  ): SelectedUpstream {
    const nowMs = this.#options.clock.now();
    const {statistics} = handle;
    const {workMs} = criteria.workEstimate;
    const estimateMs = statistics.estimateMs({nowMs, workMs});
    const failureShare = statistics.failureShare(nowMs);
    const loss = expectedLoss({
      estimateMs,
      targetRemainingMs: criteria.targetAtMs - nowMs,
      remainingMs: criteria.deadlineMs - nowMs,
      failureShare,
      distance: statistics.distance,
      bytes: TYPICAL_ANSWER_BYTES + criteria.bodyBytes,
      costs: this.#costs,
    });
    const isTried = statistics.hasServed || !handle.limit.mayTryNew(nowMs);
    const bonus = isTried ? 0 : NEWCOMER_BONUS;
    return {
      handle,
      estimateMs,
      freeSlotEstimateMs: statistics.freeSlotEstimateMs({nowMs, workMs}),
      workMs,
      loss: loss - bonus,
      reportAgeMs: statistics.reportAgeMs(nowMs),
      slowdown: statistics.slowdown(nowMs),
      freeSlots: statistics.freeSlots(nowMs),
      failureShare,
      get considered() {
        return toConsidered();
      },
    };
  }

  /**
   * Queries the loads of the first `maximumQueries` upstreams, and waits at
   * most `waitMs`. Taking the first keeps the set stable, so that connections
   * to them stay open.
   */
  async #queryLoads(
    handles: readonly UpstreamHandle[],
    loadPath: string,
    maximumQueries: number,
    waitMs: number,
  ): Promise<void> {
    const {clock, queryBudget} = this.#options;
    const nowMs = clock.now();
    const loadQueries = handles
      .slice(0, maximumQueries)
      .filter(
        ({statistics, warmUp}) =>
          warmUp.warmUp.isDoubtful ||
          statistics.reportAgeMs(nowMs) > FRESH_REPORT_AGE_MS,
      )
      .filter(handle => handle.isResponsive(nowMs))
      .filter(() => queryBudget.take(1, nowMs))
      .map(handle => handle.queryLoad(loadPath));
    if (loadQueries.length > 0) {
      await waitAtMost(Promise.all(loadQueries), waitMs);
    }
  }
}

/** Adds up the slots of upstreams, and those that are free for the request. */
function toCapacity(
  handles: readonly UpstreamHandle[],
  {workEstimate, targetAtMs}: SelectionCriteria,
  nowMs: number,
): ConsideredCapacity {
  const {workMs} = workEstimate;
  const targetRemainingMs = targetAtMs - nowMs;
  let slots = 0;
  let freeSlots = 0;
  for (const {statistics} of handles) {
    slots += statistics.slots - statistics.slowingSlots;
    freeSlots += statistics.usableSlots({nowMs, workMs, targetRemainingMs});
  }
  return {slots, freeSlots};
}

function isInRegion(distance: Distance): boolean {
  return distance !== 'other-region';
}

/** Waits until the promise settles, or for `limitMs`. */
async function waitAtMost(
  promise: Promise<unknown>,
  limitMs: number,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<void>(resolve => {
    timer = setTimeout(resolve, limitMs);
  });
  await Promise.race([promise, limit]);
  clearTimeout(timer);
}
