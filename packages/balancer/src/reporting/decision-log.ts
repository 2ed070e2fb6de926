/**
 * Structured logs on standard output, one JSON line for each decision. Lines
 * per second are limited for each event; omitted lines are counted, and the
 * next line of the event reports their number. Writing never blocks: lines are
 * dropped when the reader stops reading.
 */

import {TokenBucket} from '@wasabidyke/policy';
import {
  SECOND_MS,
  type Clock,
  type Labels,
  type MetricRegistry,
} from '@wasabidyke/shared';
import pino, {type Logger} from 'pino';
import type {LineDestination} from './line-destination.js';

/** Fields of a log line. Metrics and docs use the same names. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Log of decisions. */
export abstract class DecisionLog {
  /** Logs a decision. @param event Stable name, such as `request.refused`; docs/OPERATIONS.md lists them. */
  abstract record(event: string, fields: LogFields): void;

  /** Writes buffered lines before the process exits. */
  abstract flush(): void;
}

/** Maximum lines per second of one event. Source: 14 machines then write a few hundred lines per second, which one engineer's tools can handle. */
const MAXIMUM_LINES_PER_SECOND = 40;

/** Burst of lines of one event, in milliseconds at the maximum rate. */
const BURST_MS = 2 * SECOND_MS;

const EVENTS_HELP = 'Decisions by event, and by reason where there is one.';

interface EventLimit {
  readonly bucket: TokenBucket;
  /** Lines omitted since the last written line of the event. */
  leftOut: number;
}

/** Writes decisions as JSON lines. */
export class JsonDecisionLog extends DecisionLog {
  readonly #logger: Logger;
  readonly #destination: LineDestination;
  readonly #clock: Clock;
  readonly #metrics: MetricRegistry;
  readonly #limits = new Map<string, EventLimit>();

  constructor(
    entry: string,
    destination: LineDestination,
    clock: Clock,
    metrics: MetricRegistry,
  ) {
    super();
    this.#destination = destination;
    this.#clock = clock;
    this.#metrics = metrics;
    this.#logger = pino(
      {base: {entry}, timestamp: pino.stdTimeFunctions.isoTime},
      destination,
    );
  }

  override record(event: string, fields: LogFields): void {
    this.#metrics
      .counter('wasabidyke_events_total', EVENTS_HELP, toLabels(event, fields))
      .add();
    const limit = this.#findLimit(event);
    if (!limit.bucket.take(1, this.#clock.now())) {
      limit.leftOut += 1;
      return;
    }
    const leftOut = limit.leftOut === 0 ? undefined : limit.leftOut;
    limit.leftOut = 0;
    this.#logger.info({event, ...fields, leftOut});
  }

  override flush(): void {
    for (const [event, limit] of this.#limits) {
      if (limit.leftOut > 0) {
        this.#logger.info({
          event: 'log.left-out',
          of: event,
          leftOut: limit.leftOut,
        });
        limit.leftOut = 0;
      }
    }
    this.#destination.flush();
  }

  #findLimit(event: string): EventLimit {
    const known = this.#limits.get(event);
    if (known !== undefined) {
      return known;
    }
    const nowMs = this.#clock.now();
    const bucket = new TokenBucket({
      ratePerSecond: MAXIMUM_LINES_PER_SECOND,
      capacityMs: BURST_MS,
      minimumCapacity: 1,
      nowMs: nowMs - BURST_MS,
    });
    const limit = {bucket, leftOut: 0};
    this.#limits.set(event, limit);
    return limit;
  }
}

function toLabels(event: string, {reason, result}: LogFields): Labels {
  const labelReason = reason ?? result;
  return typeof labelReason === 'string'
    ? {event, reason: labelReason}
    : {event};
}
