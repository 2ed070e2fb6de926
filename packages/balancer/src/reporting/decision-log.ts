/**
 * Structured logs on standard output, one JSON line for each decision. Each
 * event has a limit of lines a second; what is left out is counted and told
 * once a second. Writing never blocks: a reader that stops costs lines.
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

/** Fields of a line. Names are the same in metrics and docs. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Takes decisions. */
export abstract class DecisionLog {
  /** @param event Stable name, such as `request.refused`; docs/OPERATIONS.md lists them. */
  abstract record(event: string, fields: LogFields): void;

  /** Writes what is buffered before the process ends. */
  abstract flush(): void;
}

/** Lines a second of one event. Source: at 14 machines they are a few hundred a second, which one engineer's tools take. */
const LINES_PER_SECOND = 40;

/** Seconds of lines that may come at once. */
const BURST_MS = 2 * SECOND_MS;

const EVENTS_HELP = 'Decisions by event, and by reason where there is one.';

interface EventLimit {
  readonly bucket: TokenBucket;
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
    const limit = this.#limit(event);
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

  #limit(event: string): EventLimit {
    const known = this.#limits.get(event);
    if (known !== undefined) {
      return known;
    }
    const nowMs = this.#clock.now();
    const bucket = new TokenBucket({
      ratePerSecond: LINES_PER_SECOND,
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
  const why = reason ?? result;
  return typeof why === 'string' ? {event, reason: why} : {event};
}
