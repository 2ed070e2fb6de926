/**
 * Hot/cold selection by requests in flight and latency.
 * Source: Wydrowski, Kleinberg, Rumble and Archer, "Load is not what you should
 * balance: Introducing Prequal", NSDI 2024. There the signals come from probes;
 * here they come from reports on answers, and from probes if these are enabled.
 * Unlike there, latency only separates slow VMs from the others and doesn't rank
 * cold candidates: with few answers for each upstream, the lowest latency is chance.
 */

import {RequestCountEstimator} from './request-count-estimator.js';
import {Sampler} from './sampler.js';
import {Selection, type RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';
import {VmLatency} from './vm-latency.js';

/** Maximum number of candidates that are compared for one request. */
const SAMPLE_SIZE = 16;

/** Quantile of the estimated requests above which a candidate is hot. */
const HOT_QUANTILE = 0.8;

/** Step by which the threshold approaches the quantile, in requests. */
const THRESHOLD_STEP = 0.05;

/** Values by which a candidate is compared, each scaled by its share of the work. */
interface Rating {
  load: UpstreamLoad | undefined;
  isHot: boolean;
  slowness: number;
  requests: number;
  ownRequests: number;
}

/** Selects the cold candidate with the fewest own requests in flight; if all are hot, the one with the least slowness. */
export class HotColdSelection extends Selection {
  readonly #sampler: Sampler;
  readonly #requestCounts = new RequestCountEstimator();
  readonly #vmLatency = new VmLatency();
  readonly #sample: UpstreamLoad[] = [];
  #hotThreshold = 0;
  #best: Rating = createRating();
  #current: Rating = createRating();

  constructor(random: RandomSource) {
    super();
    this.#sampler = new Sampler(random);
  }

  override select(
    candidates: readonly UpstreamLoad[],
    nowMs: number,
  ): UpstreamLoad | undefined {
    if (candidates.length < 2) {
      return candidates[0];
    }
    this.#drawSample(candidates);
    for (const candidate of this.#sample) {
      this.#vmLatency.observe(candidate, nowMs);
    }
    this.#best.load = undefined;
    for (const candidate of this.#sample) {
      this.#rate(candidate, nowMs, this.#current);
      if (
        this.#best.load === undefined ||
        isBetter(this.#current, this.#best)
      ) {
        [this.#best, this.#current] = [this.#current, this.#best];
      }
    }
    return this.#best.load;
  }

  /** Samples successive candidates from a random index on, so that ties are broken at random. */
  #drawSample(candidates: readonly UpstreamLoad[]): void {
    const start = this.#sampler.nextBelow(candidates.length);
    this.#sample.length = 0;
    const size = Math.min(SAMPLE_SIZE, candidates.length);
    for (let drawn = 0; drawn < size; drawn += 1) {
      this.#sample.push(candidates[(start + drawn) % candidates.length]);
    }
  }

  #rate(load: UpstreamLoad, nowMs: number, rating: Rating): void {
    const share = load.shareAt(nowMs);
    rating.load = load;
    rating.requests = (this.#requestCounts.estimate(load, nowMs) + 1) / share;
    rating.ownRequests = (load.inFlight + 1) / share;
    rating.slowness = this.#vmLatency.slownessOf(load, nowMs) / share;
    const isAboveThreshold = rating.requests > this.#hotThreshold;
    this.#hotThreshold += isAboveThreshold
      ? THRESHOLD_STEP * HOT_QUANTILE
      : -THRESHOLD_STEP * (1 - HOT_QUANTILE);
    rating.isHot = isAboveThreshold || this.#vmLatency.isSlow(load, nowMs);
  }
}

function createRating(): Rating {
  return {
    load: undefined,
    isHot: false,
    slowness: 0,
    requests: 0,
    ownRequests: 0,
  };
}

function isBetter(left: Rating, right: Rating): boolean {
  if (left.isHot !== right.isHot) {
    return right.isHot;
  }
  return left.isHot
    ? left.slowness < right.slowness
    : left.ownRequests < right.ownRequests;
}
