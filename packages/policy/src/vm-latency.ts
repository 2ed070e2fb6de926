/**
 * What answers and requests under way say of each VM. A noisy neighbour slows
 * all upstreams of one VM together, so what one of them shows holds for all.
 */

import type {UpstreamLoad} from './upstream-load.js';

/** Weight of the newest answer in a VM's moving average. */
const LATENCY_WEIGHT = 0.5;

/** Time in which what is known of a VM loses half of its weight, in medians of the time to answer. */
const LATENCY_HALF_LIFE_MEDIANS = 5;

/** Relative step by which the median over all VMs is followed. */
const MEDIAN_STEP = 0.02;

/** Latency over the median above which a VM is slow. */
const SLOW_FACTOR = 2;

/** VMs that are remembered at most. */
const MAXIMUM_VMS = 4_096;

class VmRecord {
  latencyMs = 0;
  answeredAtMs = -Infinity;
  longestAgeMs = 0;
  lookAtMs = -Infinity;
}

/** Latency of each VM, against the median of all. */
export class VmLatency {
  readonly #records = new Map<string, VmRecord>();
  #medianMs = 0;

  /** Looks at what `candidate` shows. To be called for all candidates before they are rated. */
  look(candidate: UpstreamLoad, nowMs: number): void {
    const record = this.#recordOf(candidate);
    if (candidate.latencyAtMs > record.answeredAtMs) {
      this.#applyAnswer(record, candidate.lastDurationMs);
      record.answeredAtMs = candidate.latencyAtMs;
    }
    const ageMs = candidate.meanAgeMs(nowMs);
    record.longestAgeMs =
      record.lookAtMs === nowMs ? Math.max(record.longestAgeMs, ageMs) : ageMs;
    record.lookAtMs = nowMs;
  }

  /** Expected time to answer on the candidate's VM, over the median of all. */
  slownessOf(candidate: UpstreamLoad, nowMs: number): number {
    if (this.#medianMs === 0) {
      return 1;
    }
    const record = this.#recordOf(candidate);
    const ageMs = Math.max(0, nowMs - record.answeredAtMs);
    const halfLifeMs = LATENCY_HALF_LIFE_MEDIANS * this.#medianMs;
    const weight = 2 ** (-ageMs / halfLifeMs);
    const expectedMs =
      this.#medianMs + weight * (record.latencyMs - this.#medianMs);
    return Math.max(expectedMs, record.longestAgeMs) / this.#medianMs;
  }

  /** Whether the candidate's VM is slow now. */
  isSlow(candidate: UpstreamLoad, nowMs: number): boolean {
    return this.slownessOf(candidate, nowMs) > SLOW_FACTOR;
  }

  #applyAnswer(record: VmRecord, durationMs: number): void {
    const isFirst = record.latencyMs === 0;
    const weight = isFirst ? 1 : LATENCY_WEIGHT;
    record.latencyMs += weight * (durationMs - record.latencyMs);
    if (this.#medianMs === 0) {
      this.#medianMs = durationMs;
    }
    const isAbove = durationMs > this.#medianMs;
    this.#medianMs *= isAbove ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP;
  }

  #recordOf(candidate: UpstreamLoad): VmRecord {
    const {vm} = candidate.upstream;
    let record = this.#records.get(vm);
    if (record === undefined) {
      if (this.#records.size >= MAXIMUM_VMS) {
        this.#records.clear();
      }
      record = new VmRecord();
      this.#records.set(vm, record);
    }
    return record;
  }
}
