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

/** The cold candidate with the lowest latency, or else the least loaded hot one. */
export class HotColdSelection extends Selection {
  readonly #sampler: Sampler;
  readonly #requests = new RequestEstimate();
  readonly #latency = new LatencyEstimate();
  #hotThreshold = 0;

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
    let cold: UpstreamLoad | undefined;
    let coldLatencyMs = Infinity;
    let hot: UpstreamLoad | undefined;
    let hotRequests = Infinity;
    const size = Math.min(SAMPLE_SIZE, candidates.length);
    for (let drawn = 0; drawn < size; drawn += 1) {
      const candidate = candidates[this.#sampler.draw(candidates, nowMs)];
      const requests = this.#requests.at(candidate, nowMs);
      const isHot = requests > this.#hotThreshold;
      this.#followQuantile(isHot);
      if (isHot) {
        if (requests < hotRequests) {
          hot = candidate;
          hotRequests = requests;
        }
        continue;
      }
      const latencyMs = this.#latency.at(candidate, nowMs);
      if (latencyMs < coldLatencyMs) {
        cold = candidate;
        coldLatencyMs = latencyMs;
      }
    }
    return cold ?? hot;
  }

  #followQuantile(isAbove: boolean): void {
    this.#hotThreshold += isAbove
      ? THRESHOLD_STEP * HOT_QUANTILE
      : -THRESHOLD_STEP * (1 - HOT_QUANTILE);
  }
}
