/**
 * Hot/cold selection by requests in flight and latency.
 * Source: Wydrowski, Kleinberg, Rumble and Archer, "Load is not what you should
 * balance: Introducing Prequal", NSDI 2024. There the signals come from probes;
 * here they come from reports on answers, and from probes where they are made.
 * Unlike there, latency tells slow VMs from others and orders nothing further:
 * with few answers for each upstream, the lowest latency is chance.
 */

import {RequestEstimate} from './request-estimate.js';
import {Sampler} from './sampler.js';
import {Selection, type RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';
import {VmLatency} from './vm-latency.js';

/** Candidates that are compared for one request at most. */
const SAMPLE_SIZE = 16;

/** Quantile of requests in flight above which a candidate is hot. */
const HOT_QUANTILE = 0.8;

/** Step by which the threshold follows the quantile, in requests. */
const THRESHOLD_STEP = 0.05;

/** What a candidate is compared by. */
interface Rating {
  load: UpstreamLoad | undefined;
  isHot: boolean;
  slowness: number;
  requests: number;
  own: number;
}

/** The cold candidate with the fewest requests; else the hot one that is least slow. */
export class HotColdSelection extends Selection {
  readonly #sampler: Sampler;
  readonly #requests = new RequestEstimate();
  readonly #vms = new VmLatency();
  readonly #sample: UpstreamLoad[] = [];
  #hotThreshold = 0;
  #best: Rating = createRating();
  #spare: Rating = createRating();

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
    this.#draw(candidates);
    for (const candidate of this.#sample) {
      this.#vms.look(candidate, nowMs);
    }
    this.#best.load = undefined;
    for (const candidate of this.#sample) {
      this.#rate(candidate, nowMs, this.#spare);
      if (this.#best.load === undefined || isBetter(this.#spare, this.#best)) {
        [this.#best, this.#spare] = [this.#spare, this.#best];
      }
    }
    return this.#best.load;
  }

  /** Takes candidates from a random place on, so that ties fall at random. */
  #draw(candidates: readonly UpstreamLoad[]): void {
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
    rating.requests = (this.#requests.at(load, nowMs) + 1) / share;
    rating.own = (load.inFlight + 1) / share;
    rating.slowness = this.#vms.slownessOf(load, nowMs) / share;
    const isLoaded = rating.requests > this.#hotThreshold;
    this.#hotThreshold += isLoaded
      ? THRESHOLD_STEP * HOT_QUANTILE
      : -THRESHOLD_STEP * (1 - HOT_QUANTILE);
    rating.isHot = isLoaded || this.#vms.isSlow(load, nowMs);
  }
}

function createRating(): Rating {
  return {load: undefined, isHot: false, slowness: 0, requests: 0, own: 0};
}

function isBetter(left: Rating, right: Rating): boolean {
  if (left.isHot !== right.isHot) {
    return right.isHot;
  }
  return left.isHot ? left.slowness < right.slowness : left.own < right.own;
}
