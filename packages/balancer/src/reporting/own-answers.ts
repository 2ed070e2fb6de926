/**
 * Answers with status 3xx or 4xx that this entry gives by itself: each is
 * counted by status and reason, and most have a log line with what the decision
 * was based on.
 */

import type {IncomingMessage} from 'node:http';
import type {Clock, MetricRegistry} from '@wasabidyke/shared';
import type {RecordsOrigin} from '../feed/records-origin.js';
import type {RoutingTable} from '../routing/routing-table.js';
import type {DecisionLog, LogFields} from './decision-log.js';

/** Options of `OwnAnswers`. */
export interface OwnAnswersOptions {
  readonly metrics: MetricRegistry;
  readonly log: DecisionLog;
  readonly clock: Clock;
  /** Where the records come from. */
  readonly origin: () => RecordsOrigin;
}

/** An own answer. */
export interface OwnAnswer {
  /** Event under which it is logged. */
  readonly event: string;
  readonly status: number;
  /** One of a fixed set: the metric has a series for each. */
  readonly reason: string;
}

/** The statuses of own answers: from the first one on, and below the second one. */
const LOWEST_STATUS = 300;
const LOWEST_SERVER_ERROR = 500;

/** Longest host or path in a log line, in characters. Source: with 80 lines at once, an event takes no more than 50 kB. */
const MAXIMUM_TEXT_LENGTH = 256;

const COUNTER_HELP =
  'Answers with status 3xx or 4xx that this entry gave by itself, by status and reason.';

/** Counts and logs own answers. */
export class OwnAnswers {
  readonly #options: OwnAnswersOptions;

  constructor(options: OwnAnswersOptions) {
    this.#options = options;
  }

  /** Where the records come from, and how old they are. */
  get origin(): RecordsOrigin {
    return this.#options.origin();
  }

  /** Counts an answer, unless its status is none of 3xx and 4xx. @param reason One of a fixed set. */
  count(status: number, reason: string): void {
    if (isOwnAnswer(status)) {
      const labels = {status: String(status), reason};
      this.#options.metrics
        .counter('wasabidyke_own_answers_total', COUNTER_HELP, labels)
        .add();
    }
  }

  /** Counts and logs an answer. */
  record({event, status, reason}: OwnAnswer, fields: LogFields): void {
    this.count(status, reason);
    this.#options.log.record(event, {...fields, status, reason});
  }

  /** Counts and logs the answer to a caller's request. @param table The configuration that decided; undefined if none did. */
  recordRequest(
    answer: OwnAnswer,
    request: IncomingMessage,
    table: RoutingTable | undefined,
    fields: LogFields,
  ): void {
    this.record(answer, {
      ...toTargetFields(request),
      ...fields,
      ...this.toBasis(table),
    });
  }

  /** What a decision by a configuration is based on. */
  toBasis(table: RoutingTable | undefined): LogFields {
    const {clock, origin} = this.#options;
    return {
      version: table?.version,
      configurationAgeMs: table && Math.round(clock.now() - table.appliedAtMs),
      ...toOriginFields(origin()),
    };
  }
}

/** Whether an answer with a status counts as an own answer: 3xx and 4xx. */
export function isOwnAnswer(status: number): boolean {
  return status >= LOWEST_STATUS && status < LOWEST_SERVER_ERROR;
}

/** Returns the host and the path of a request, without its query, which may hold secrets of the caller. */
export function toTargetFields({headers, url = '/'}: IncomingMessage): {
  readonly host: string | undefined;
  readonly path: string;
} {
  return {
    host: headers.host?.slice(0, MAXIMUM_TEXT_LENGTH),
    path: toLoggedPath(url),
  };
}

/** Returns the path of a request target, at most 256 characters of it. */
export function toLoggedPath(url: string): string {
  return url.split('?', 1)[0].slice(0, MAXIMUM_TEXT_LENGTH);
}

/** Returns the fields that tell where the records come from; `recordsAgeMs` is missing until the store has confirmed them. */
export function toOriginFields({feeder, revision, ageMs}: RecordsOrigin): {
  readonly feeder: string;
  readonly recordsRevision: number;
  readonly recordsAgeMs: number | undefined;
} {
  return {
    feeder,
    recordsRevision: revision,
    recordsAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
  };
}
