/**
 * Hot/cold selection by requests in flight and latency.
 * Source: Wydrowski, Kleinberg, Rumble and Archer, "Load is not what you should
 * balance: Introducing Prequal", NSDI 2024. There the signals come from probes;
 * here they come from reports on answers, and from probes where they are made.
 */

import {LatencyEstimate} from './latency-estimate.js';
import {RequestEstimate} from './request-estimate.js';
import {Sampler} from './sampler.js';
import {Selection, type RandomSource} from './selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Candidates that are compared for one request. */
const SAMPLE_SIZE = 5;

/** Quantile of requests in flight above which a candidate is hot. */
const HOT_QUANTILE = 0.8;

/** Step by which the threshold follows the quantile, in requests. */
const THRESHOLD_STEP = 0.1;

/** A candidate with what it is compared by. */
interface RatedCandidate {
  load: UpstreamLoad;
  requests: number;
  latencyMs: number;
  isHot: boolean;
}

/** The cold candidate with the lowest latency, or else the least loaded hot one. */
export class HotColdSelection extends Selection {
  readonly #sampler: Sampler;
  readonly #requests = new RequestEstimate();
  readonly #latency = new LatencyEstimate();
  #hotThreshold = 0;
  #best: RatedCandidate | undefined;
  #spare: RatedCandidate | undefined;

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
    let best = this.#draw(candidates, nowMs, this.#best);
    let spare = this.#spare;
    const size = Math.min(SAMPLE_SIZE, candidates.length);
    for (let drawn = 1; drawn < size; drawn += 1) {
      spare = this.#draw(candidates, nowMs, spare);
      if (isBetter(spare, best)) {
        [best, spare] = [spare, best];
      }
    }
    this.#best = best;
    this.#spare = spare;
    return best.load;
  }

  /** Draws a candidate and rates it into `reused`, so that a selection allocates nothing. */
  #draw(
    candidates: readonly UpstreamLoad[],
    nowMs: number,
    reused: RatedCandidate | undefined,
  ): RatedCandidate {
    const load = candidates[this.#sampler.draw(candidates, nowMs)];
    const rated = reused ?? {load, requests: 0, latencyMs: 0, isHot: false};
    const share = load.shareAt(nowMs);
    rated.load = load;
    rated.requests = (this.#requests.at(load, nowMs) + 1) / share;
    rated.latencyMs = this.#latency.at(load, nowMs) / share;
    rated.isHot = rated.requests > this.#hotThreshold;
    this.#hotThreshold += rated.isHot
      ? THRESHOLD_STEP * HOT_QUANTILE
      : -THRESHOLD_STEP * (1 - HOT_QUANTILE);
    return rated;
  }
}

function isBetter(left: RatedCandidate, right: RatedCandidate): boolean {
  if (left.isHot !== right.isHot) {
    return right.isHot;
  }
  if (left.isHot || left.latencyMs === right.latencyMs) {
    return left.requests < right.requests;
  }
  return left.latencyMs < right.latencyMs;
}
