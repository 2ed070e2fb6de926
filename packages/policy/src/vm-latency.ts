/**
 * Latency of each VM, from answers and requests in flight. A noisy neighbour
 * slows down all upstreams on a VM together, so they share one estimate.
 */

import type {UpstreamLoad} from './upstream-load.js';

/** Weight of the newest answer in a VM's moving average. */
const NEWEST_LATENCY_WEIGHT = 0.5;

/** Half-life of a VM's latency, in multiples of the median latency over all VMs. */
const HALF_LIFE_IN_MEDIANS = 5;

/** Relative step by which the estimate of the median approaches it. */
const MEDIAN_STEP = 0.02;

/** Multiple of the median above which a VM is slow. */
const SLOW_FACTOR = 2;

/** Maximum number of VMs; beyond it, all records are cleared. */
const MAXIMUM_VMS = 4_096;

class VmRecord {
  latencyMs = 0;
  answeredAtMs = -Infinity;
  maximumInFlightAgeMs = 0;
  observedAtMs = -Infinity;
}

/** Latency of each VM in relation to the median over all VMs. */
export class VmLatency {
  readonly #records = new Map<string, VmRecord>();
  #medianMs = 0;

  /** Records the candidate's latency. Call it for all candidates before comparing them. */
  observe(candidate: UpstreamLoad, nowMs: number): void {
    const record = this.#recordOf(candidate);
    if (candidate.latencyAtMs > record.answeredAtMs) {
      this.#applyAnswer(record, candidate.lastDurationMs);
      record.answeredAtMs = candidate.latencyAtMs;
    }
    const ageMs = candidate.meanAgeMs(nowMs);
    record.maximumInFlightAgeMs =
      record.observedAtMs === nowMs
        ? Math.max(record.maximumInFlightAgeMs, ageMs)
        : ageMs;
    record.observedAtMs = nowMs;
  }

  /** Returns the expected latency on the candidate's VM, as a multiple of the median over all VMs. */
  slownessOf(candidate: UpstreamLoad, nowMs: number): number {
    if (this.#medianMs === 0) {
      return 1;
    }
    const record = this.#recordOf(candidate);
    const ageMs = Math.max(0, nowMs - record.answeredAtMs);
    const halfLifeMs = HALF_LIFE_IN_MEDIANS * this.#medianMs;
    const weight = 2 ** (-ageMs / halfLifeMs);
    const expectedMs =
      this.#medianMs + weight * (record.latencyMs - this.#medianMs);
    return Math.max(expectedMs, record.maximumInFlightAgeMs) / this.#medianMs;
  }

  /** Whether the candidate's VM is slow at `nowMs`. */
  isSlow(candidate: UpstreamLoad, nowMs: number): boolean {
    return this.slownessOf(candidate, nowMs) > SLOW_FACTOR;
  }

  #applyAnswer(record: VmRecord, durationMs: number): void {
    const isFirst = record.latencyMs === 0;
    const weight = isFirst ? 1 : NEWEST_LATENCY_WEIGHT;
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
