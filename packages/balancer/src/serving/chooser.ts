/**
 * Chooses the upstream of a request: asks those near by for their load where
 * the last report is old, waits a few milliseconds for the answers, and takes
 * the one with the smallest expected loss. Other regions are asked only when
 * the near ones are expected to answer late.
 */

import {
  expectedLoss,
  isWorthLeaving,
  type Distance,
  type RandomSource,
  type TokenBucket,
  type TransferCosts,
  type WorkEstimate,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {UpstreamHandle} from '../members/upstream-handle.js';
import type {UpstreamRegistry} from '../members/upstream-registry.js';

/** A request that needs an upstream. */
export interface ChoiceQuery {
  readonly service: string;
  readonly loadPath: string;
  readonly work: WorkEstimate;
  /** On the monotonic clock. */
  readonly targetAtMs: number;
  readonly deadlineMs: number;
  /** Bytes of the request and of its usual answer. */
  readonly bytes: number;
  /** Upstreams that were tried before. */
  readonly excluded: ReadonlySet<UpstreamHandle>;
}

/** The upstream that was chosen, and why. */
export interface Choice {
  readonly handle: UpstreamHandle;
  readonly estimateMs: number;
  readonly loss: number;
  readonly reportAgeMs: number;
  /** How many times as long as usual its work was believed to take. */
  readonly slowdown: number;
  readonly freeSlots: number;
  readonly failureShare: number;
}

/** What a chooser needs. */
export interface ChooserOptions {
  readonly registry: UpstreamRegistry;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly costs: TransferCosts;
  /** Load queries that this entry may still make. */
  readonly queryBudget: TokenBucket;
}

/** Age from which on a report is asked for anew, in milliseconds: a tenth of the time in which neighbours come and go. */
const FRESH_REPORT_MS = 40;

/** Upstreams that an entry uses first: few, so that its connections to them stay open. */
const HOME_UPSTREAMS = 6;

/** Expected loss from which on the other upstreams of the region are asked. */
const LEAVE_LOSS = 0.12;

/** Other upstreams of this region that are asked for one request. */
const NEAR_QUERIES = 6;

/** Upstreams of other regions that are asked for one request. */
const FAR_QUERIES = 4;

/** Longest wait for answers from this region, in milliseconds: several round trips. */
const NEAR_WAIT_MS = 8;

/** Time beyond a round trip that answers from other regions are waited for. */
const FAR_MARGIN_MS = 8;

/** An upstream that never served this entry is preferred by this much, so that those that join get work. */
const NEWCOMER_BONUS = 0.05;

/** Losses this close count as equal; one of them is drawn. */
const TIE_MARGIN = 0.01;

/** Chooses upstreams. */
export class Chooser {
  readonly #options: ChooserOptions;
  #costs: TransferCosts;

  constructor(options: ChooserOptions) {
    this.#options = options;
    this.#costs = options.costs;
  }

  /** Takes over changed costs. */
  applyCosts(costs: TransferCosts): void {
    this.#costs = costs;
  }

  /** The best upstream; undefined when there is none. */
  async choose(query: ChoiceQuery): Promise<Choice | undefined> {
    const {registry, clock} = this.#options;
    const usable = registry
      .list(query.service)
      .filter(handle => isUsable(handle, query));
    const near = usable.filter(({outlook}) => isNear(outlook.distance));
    const home = near.slice(0, HOME_UPSTREAMS);
    await this.#ask(home, query.loadPath, HOME_UPSTREAMS, NEAR_WAIT_MS);
    const atHome = this.#pick(home, query);
    if (atHome !== undefined && atHome.loss < LEAVE_LOSS) {
      return atHome;
    }
    const others = near.slice(HOME_UPSTREAMS);
    await this.#ask(others, query.loadPath, NEAR_QUERIES, NEAR_WAIT_MS);
    const atNear = this.#pick(near, query);
    const far = usable.filter(({outlook}) => !isNear(outlook.distance));
    const farLevel = registry.failureLevel(query.service, 'other-region');
    const isGood =
      atNear !== undefined &&
      !isWorthLeaving(atNear.loss, farLevel.share(clock.now()));
    if (isGood || far.length === 0) {
      return atNear;
    }
    const waitMs = far[0].outlook.roundTripMs + FAR_MARGIN_MS;
    await this.#ask(far, query.loadPath, FAR_QUERIES, waitMs);
    return this.#pick(usable, query);
  }

  /** The best upstream by what is known now; undefined when none can be used any more. */
  #pick(
    handles: readonly UpstreamHandle[],
    query: ChoiceQuery,
  ): Choice | undefined {
    const choices = handles
      .filter(handle => isUsable(handle, query))
      .map(handle => this.#judge(handle, query));
    if (choices.length === 0) {
      return undefined;
    }
    const least = Math.min(...choices.map(({loss}) => loss));
    const equal = choices.filter(({loss}) => loss <= least + TIE_MARGIN);
    return equal[this.#options.random.nextBelow(equal.length)];
  }

  #judge(handle: UpstreamHandle, query: ChoiceQuery): Choice {
    const nowMs = this.#options.clock.now();
    const {outlook} = handle;
    const estimateMs = outlook.estimateMs({nowMs, workMs: query.work.workMs});
    const failureShare = outlook.failureShare(nowMs);
    const loss = expectedLoss({
      estimateMs,
      targetLeftMs: query.targetAtMs - nowMs,
      leftMs: query.deadlineMs - nowMs,
      failureShare,
      distance: outlook.distance,
      bytes: query.bytes,
      costs: this.#costs,
    });
    const bonus = outlook.hasServed ? 0 : NEWCOMER_BONUS;
    return {
      handle,
      estimateMs,
      loss: loss - bonus,
      reportAgeMs: outlook.reportAgeMs(nowMs),
      slowdown: outlook.slowdown(nowMs),
      freeSlots: outlook.freeSlots(nowMs),
      failureShare,
    };
  }

  /** Asks the first ones, which stay the same so that connections to them stay open, for at most `waitMs`. */
  async #ask(
    handles: readonly UpstreamHandle[],
    loadPath: string,
    most: number,
    waitMs: number,
  ): Promise<void> {
    const {clock, queryBudget} = this.#options;
    const nowMs = clock.now();
    const answers = handles
      .slice(0, most)
      .filter(({outlook}) => outlook.reportAgeMs(nowMs) > FRESH_REPORT_MS)
      .filter(handle => handle.isWorthAsking(nowMs))
      .filter(() => queryBudget.take(1, nowMs))
      .map(handle => handle.queryLoad(loadPath));
    if (answers.length > 0) {
      await withinTime(Promise.all(answers), waitMs);
    }
  }
}

function isNear(distance: Distance): boolean {
  return distance !== 'other-region';
}

function isUsable(handle: UpstreamHandle, {excluded}: ChoiceQuery): boolean {
  const {connections} = handle;
  const hasConnection = connections.idle > 0 || !connections.isFull;
  return !handle.isLeaving && !excluded.has(handle) && hasConnection;
}

async function withinTime(
  work: Promise<unknown>,
  limitMs: number,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<void>(resolve => {
    timer = setTimeout(resolve, limitMs);
  });
  await Promise.race([work, limit]);
  clearTimeout(timer);
}
