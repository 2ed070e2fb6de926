/** Figures of the experiment `control-cost`. */

import {MEBIBYTE} from '@wasabidyke/shared';
import type {PeerProcessEvent, PeerProcessReport} from '@wasabidyke/stand-ins';

/** What all processes had spent at one time. */
export interface Readings {
  /** Monotonic. */
  readonly atMs: number;
  readonly reports: readonly PeerProcessReport[];
}

/** What one entry spent in a window: the median and the greatest of all entries. */
export interface WindowFigures {
  readonly seconds: number;
  readonly processorPercent: Spread;
  readonly bytesPerSecond: Spread;
  readonly crossRegionBytesPerSecond: Spread;
  readonly callsPerSecond: Spread;
  readonly residentMebibytes: Spread;
  readonly heapMebibytes: Spread;
}

/** A figure over all entries. */
export interface Spread {
  readonly median: number;
  readonly greatest: number;
  readonly mean: number;
}

const BYTES = 'wasabidyke_peer_bytes_total';
const CALLS = 'wasabidyke_peer_calls_';
const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Compares two readings. */
export function describeWindow(
  before: Readings,
  after: Readings,
): WindowFigures {
  const elapsedMs = after.atMs - before.atMs;
  const seconds = elapsedMs / MILLISECONDS_PER_SECOND;
  const rate = (read: (report: PeerProcessReport) => number) =>
    toSpread(
      after.reports.map(
        (report, index) =>
          (read(report) - read(before.reports[index])) / seconds,
      ),
    );
  const level = (read: (report: PeerProcessReport) => number) =>
    toSpread(after.reports.map(report => read(report) / MEBIBYTE));
  return {
    seconds: round(seconds),
    processorPercent: toSpread(
      after.reports.map(
        ({processorUs}, index) =>
          (processorUs - before.reports[index].processorUs) /
          MICROSECONDS_PER_MILLISECOND /
          (elapsedMs / 100),
      ),
    ),
    bytesPerSecond: rate(report => sumMetrics(report, BYTES)),
    crossRegionBytesPerSecond: rate(report =>
      sumMetrics(report, BYTES, 'other-region'),
    ),
    callsPerSecond: rate(report => sumMetrics(report, CALLS)),
    residentMebibytes: level(({residentBytes}) => residentBytes),
    heapMebibytes: level(({heapBytes}) => heapBytes),
  };
}

type Change = 'revision' | 'departure';

/** Times from a change to its being known at each entry. */
export class SpreadTimes {
  readonly #startedAtMs: Record<Change, number[]> = {
    revision: [],
    departure: [],
  };
  readonly #heardAtMs: Record<Change, number[]> = {
    revision: [],
    departure: [],
  };

  /** A change is made. */
  start(change: Change): void {
    this.#startedAtMs[change].push(Date.now());
  }

  /** An entry says that it knows of a change. */
  onEvent(event: PeerProcessEvent): void {
    if (event.kind === 'revision') {
      this.#heardAtMs.revision.push(event.atMs);
    } else if (event.kind === 'row' && event.rowKind === 'departure') {
      this.#heardAtMs.departure.push(event.atMs);
    }
  }

  /** For each change that `entries` heard of before the next one was made: until the last did. */
  toDurations(change: Change, entries: number): readonly number[] {
    const starts = this.#startedAtMs[change];
    return starts.flatMap((startedAtMs, index) => {
      const endsAtMs = starts[index + 1] ?? Infinity;
      const heard = this.#heardAtMs[change].filter(
        atMs => atMs >= startedAtMs && atMs < endsAtMs,
      );
      const isComplete = heard.length >= entries;
      return isComplete ? [Math.max(0, ...heard) - startedAtMs] : [];
    });
  }
}

/** The middle of some values; 0 for none. */
export function median(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function toSpread(values: readonly number[]): Spread {
  const sum = values.reduce((total, value) => total + value, 0);
  return {
    median: round(median(values)),
    greatest: round(Math.max(...values)),
    mean: round(sum / values.length),
  };
}

function sumMetrics(
  {metrics}: PeerProcessReport,
  prefix: string,
  part = '',
): number {
  const names = Object.keys(metrics);
  return names
    .filter(name => name.startsWith(prefix) && name.includes(part))
    .reduce((sum, name) => sum + metrics[name], 0);
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
