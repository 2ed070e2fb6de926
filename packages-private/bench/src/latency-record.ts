/** Latencies of many requests, and what is told of them. */

import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';

/** Longest latency that is told apart: two minutes in microseconds. */
const HIGHEST_MICROSECONDS = 120_000_000;

/** Digits to which latencies are kept. */
const SIGNIFICANT_DIGITS = 3;

/** Microseconds in a millisecond. */
const MICROSECONDS_PER_MS = 1_000;

/** Percentiles of a curve. */
const CURVE_PERCENTILES = [
  0, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.75, 99.9, 99.95, 99.99, 100,
];

/** One point of a percentile curve. */
export interface CurvePoint {
  readonly percentile: number;
  readonly latencyMs: number;
}

/** What is told of latencies, in milliseconds. */
export interface LatencyFigures {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maximumMs: number;
}

/** Latencies of many requests. */
export class LatencyRecord {
  readonly #histogram: Histogram;

  constructor(encoded?: string) {
    this.#histogram =
      encoded === undefined
        ? build({
            lowestDiscernibleValue: 1,
            highestTrackableValue: HIGHEST_MICROSECONDS,
            numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
          })
        : decodeFromCompressedBase64(encoded);
  }

  /** Adds one latency. */
  record(latencyMs: number): void {
    const microseconds = Math.round(latencyMs * MICROSECONDS_PER_MS);
    this.#histogram.recordValue(
      Math.min(HIGHEST_MICROSECONDS, Math.max(1, microseconds)),
    );
  }

  /** Adds all latencies of another record. */
  add(other: LatencyRecord): void {
    this.#histogram.add(other.#histogram);
  }

  /** The record as text that the constructor reads. */
  encode(): string {
    return encodeIntoCompressedBase64(this.#histogram);
  }

  /** What is told of the latencies. */
  toFigures(): LatencyFigures {
    return {
      count: this.#histogram.totalCount,
      meanMs: round(this.#histogram.mean / MICROSECONDS_PER_MS),
      p50Ms: this.#percentileMs(50),
      p90Ms: this.#percentileMs(90),
      p99Ms: this.#percentileMs(99),
      p999Ms: this.#percentileMs(99.9),
      maximumMs: this.#percentileMs(100),
    };
  }

  /** The percentile curve. */
  toCurve(): readonly CurvePoint[] {
    return CURVE_PERCENTILES.map(percentile => ({
      percentile,
      latencyMs: this.#percentileMs(percentile),
    }));
  }

  #percentileMs(percentile: number): number {
    const microseconds = this.#histogram.getValueAtPercentile(percentile);
    return round(microseconds / MICROSECONDS_PER_MS);
  }
}

/** Rounds to hundredths. */
export function round(value: number): number {
  return Math.round(value * 100) / 100;
}
