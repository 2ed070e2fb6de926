/** Counters, gauges and latency histograms, rendered in the Prometheus text format. */

import {build, type Histogram} from 'hdr-histogram-js';
import {SECOND_MS} from './units.js';

/** Label names and values of one series. */
export type Labels = Readonly<Record<string, string>>;

/** A metric that only increases. */
export class Counter {
  #value = 0;

  get value(): number {
    return this.#value;
  }

  /** Adds `amount`, which must not be negative. */
  add(amount = 1): void {
    this.#value += amount;
  }
}

/** Longest duration that a histogram records: one minute, in microseconds. Longer ones are recorded as this. */
const HIGHEST_DURATION_US = 60_000_000;

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;
const PERCENTILES_PER_QUANTILE = 100;

/** A histogram of durations with two significant digits, which limits its memory. */
export class DurationHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_DURATION_US,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
  #sumMicroseconds = 0;

  /** Records a duration in milliseconds. */
  record(milliseconds: number): void {
    const rounded = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
    const microseconds = Math.min(Math.max(rounded, 1), HIGHEST_DURATION_US);
    this.#histogram.recordValue(microseconds);
    this.#sumMicroseconds += microseconds;
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  /** The duration at `percentile` (0 to 100), in milliseconds. */
  valueAt(percentile: number): number {
    const microseconds = this.#histogram.getValueAtPercentile(percentile);
    return microseconds / MICROSECONDS_PER_MILLISECOND;
  }

  /** Sum of all durations in seconds. */
  get sumSeconds(): number {
    return this.#sumMicroseconds / MICROSECONDS_PER_SECOND;
  }
}

type Series<Instrument> = Map<string, Instrument>;

interface Family {
  readonly help: string;
  readonly kind: 'counter' | 'gauge' | 'summary';
  readonly counters: Series<Counter>;
  readonly gauges: Series<() => number>;
  readonly histograms: Series<DurationHistogram>;
}

/** All metrics of one process. */
export class MetricRegistry {
  readonly #families = new Map<string, Family>();

  /** The counter of this name and labels; created at first use. */
  counter(name: string, help: string, labels: Labels = {}): Counter {
    const family = this.#family(name, help, 'counter');
    return getOrCreate(
      family.counters,
      formatLabels(labels),
      () => new Counter(),
    );
  }

  /** Registers a gauge that is read when metrics are rendered. */
  gauge(
    name: string,
    help: string,
    read: () => number,
    labels: Labels = {},
  ): void {
    this.#family(name, help, 'gauge').gauges.set(formatLabels(labels), read);
  }

  /** The histogram of this name and labels; created at first use. */
  histogram(
    name: string,
    help: string,
    labels: Labels = {},
  ): DurationHistogram {
    const family = this.#family(name, help, 'summary');
    const key = formatLabels(labels);
    return getOrCreate(family.histograms, key, () => new DurationHistogram());
  }

  /** Renders all metrics in the Prometheus text format, version 0.0.4. */
  render(): string {
    const lines: string[] = [];
    for (const [name, family] of this.#families) {
      lines.push(`# HELP ${name} ${family.help}`);
      lines.push(`# TYPE ${name} ${family.kind}`);
      renderFamily(name, family, lines);
    }
    return `${lines.join('\n')}\n`;
  }

  #family(name: string, help: string, kind: Family['kind']): Family {
    return getOrCreate(this.#families, name, () => ({
      help,
      kind,
      counters: new Map(),
      gauges: new Map(),
      histograms: new Map(),
    }));
  }
}

function renderFamily(name: string, family: Family, lines: string[]): void {
  for (const [labels, counter] of family.counters) {
    lines.push(`${name}${wrapLabels(labels)} ${counter.value}`);
  }
  for (const [labels, read] of family.gauges) {
    lines.push(`${name}${wrapLabels(labels)} ${read()}`);
  }
  for (const [labels, histogram] of family.histograms) {
    renderHistogram(name, labels, histogram, lines);
  }
}

function renderHistogram(
  name: string,
  labels: string,
  histogram: DurationHistogram,
  lines: string[],
): void {
  const prefix = labels === '' ? '' : `${labels},`;
  for (const quantile of QUANTILES) {
    const milliseconds = histogram.valueAt(quantile * PERCENTILES_PER_QUANTILE);
    const seconds = milliseconds / SECOND_MS;
    lines.push(`${name}{${prefix}quantile="${quantile}"} ${seconds}`);
  }
  lines.push(`${name}_sum${wrapLabels(labels)} ${histogram.sumSeconds}`);
  lines.push(`${name}_count${wrapLabels(labels)} ${histogram.count}`);
}

function formatLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(
    ([name, value]) => `${name}=${JSON.stringify(value)}`,
  );
  return parts.join(',');
}

function wrapLabels(labels: string): string {
  return labels === '' ? '' : `{${labels}}`;
}

function getOrCreate<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  create: () => Value,
): Value {
  const existing = map.get(key);
  if (existing !== undefined) {
    return existing;
  }
  const created = create();
  map.set(key, created);
  return created;
}
