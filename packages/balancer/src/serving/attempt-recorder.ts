/** Updates statistics with the results of attempts, and logs those that stand out. */

import type {AttemptOutcome} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {
  CompleteAnswer,
  Exchange,
  ExchangeResult,
} from '../exchange/exchange.js';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {SelectedUpstream} from './upstream-selector.js';
import type {RouteState} from './route-state.js';
import {fingerprintOf, type RoutedRequest} from './routed-request.js';

/** One send of a request to an upstream. */
export interface Attempt {
  readonly selected: SelectedUpstream;
  readonly exchange: Exchange;
  readonly startedAtMs: number;
}

/** Options of `AttemptRecorder`. */
export interface AttemptRecorderOptions {
  readonly routeState: RouteState;
  readonly protocol: WireProtocol;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Answers with this status or a higher one are failures of the upstream. */
const FIRST_ERROR_STATUS = 500;

const HUNDREDTHS = 100;

/** Whether the upstream answered with a server error (5xx). */
export function isErrorAnswer({status}: CompleteAnswer): boolean {
  return status >= FIRST_ERROR_STATUS;
}

/** Records the results of one request's attempts. */
export class AttemptRecorder {
  readonly #request: RoutedRequest;
  readonly #options: AttemptRecorderOptions;

  constructor(request: RoutedRequest, options: AttemptRecorderOptions) {
    this.#request = request;
    this.#options = options;
  }

  /** Updates the estimates of the upstream and of the route's work with a result. */
  updateStatistics(
    {selected, startedAtMs}: Attempt,
    result: ExchangeResult,
  ): void {
    const nowMs = this.#options.clock.now();
    const {statistics} = selected.handle;
    statistics.onEnd(toEnd(result), nowMs);
    if (result.kind === 'answered') {
      selected.handle.readAnswer(result.answer, 'answer');
    } else if (result.kind === 'not-run') {
      selected.handle.readAnswer(result, 'answer');
    }
    if (result.kind === 'answered' && !isErrorAnswer(result.answer)) {
      const durationMs = nowMs - startedAtMs;
      const factor = durationMs / Math.max(selected.estimateMs, 1);
      statistics.onDurationRatio(factor, nowMs);
      const workEstimate = this.#options.routeState.workEstimate(
        this.#request.route,
      );
      // The present estimate may have risen by answers to requests that were sent with this one.
      workEstimate.onAnswer(selected.workMs * factor, nowMs);
      const occupancy = this.#options.protocol.readOccupancy(
        result.answer.headers,
      );
      if (occupancy !== undefined) {
        statistics.onReport(occupancy, nowMs);
      }
    }
  }

  /** Logs an attempt that failed, was a repeat or exceeded the target latency. @param sentCount Attempts of the request so far. */
  logIfNotable(
    {selected, exchange, startedAtMs}: Attempt,
    result: ExchangeResult,
    sentCount: number,
  ): void {
    const nowMs = this.#options.clock.now();
    const {arrivedAtMs, route, requestId} = this.#request;
    const isLate = nowMs - arrivedAtMs > route.targetLatencyMs;
    const isSuccess =
      result.kind === 'answered' && !isErrorAnswer(result.answer);
    if (isSuccess && sentCount === 1 && !isLate) {
      return;
    }
    this.#options.log.record('attempt.ended', {
      request: requestId,
      route: route.name,
      version: this.#request.configurationVersion,
      attempt: sentCount,
      isLate,
      upstream: selected.handle.id,
      address: selected.handle.record.address,
      result: result.kind,
      status: result.kind === 'answered' ? result.answer.status : undefined,
      cause: 'message' in result ? result.message : undefined,
      hasHead: exchange.hasAnswerHead,
      fingerprint: mayHaveRunOn(result)
        ? fingerprintOf(this.#request)
        : undefined,
      estimateMs: Math.round(selected.estimateMs),
      reportAgeMs: Math.round(selected.reportAgeMs),
      slowdown: round(selected.slowdown),
      freeSlots: selected.freeSlots,
      failureShare: round(selected.failureShare),
      tookMs: Math.round(nowMs - startedAtMs),
    });
  }
}

function round(value: number): number {
  return Math.round(value * HUNDREDTHS) / HUNDREDTHS;
}

/** Whether the upstream may still run the request, or have ended under it. */
function mayHaveRunOn({kind}: ExchangeResult): boolean {
  return kind === 'broken' || kind === 'given-up';
}

function toEnd(result: ExchangeResult): AttemptOutcome {
  switch (result.kind) {
    case 'answered':
      return isErrorAnswer(result.answer) ? 'error-answer' : 'answered';
    case 'not-run':
    case 'other-upstream':
      return 'refused';
    case 'given-up':
      return 'cancelled';
    case 'not-sent':
    case 'broken':
      return 'failed';
  }
}
