/** What an attempt that has ended teaches, and tells the log. */

import type {OutlookEnd} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {
  Exchange,
  ExchangeResult,
  WholeAnswer,
} from '../exchange/exchange.js';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {Call} from './call.js';
import type {Choice} from './chooser.js';
import type {RouteMemory} from './route-memory.js';

/** A request that was sent to an upstream. */
export interface Attempt {
  readonly choice: Choice;
  readonly exchange: Exchange;
  readonly startedAtMs: number;
}

/** What a review needs. */
export interface AttemptReviewOptions {
  readonly memory: RouteMemory;
  readonly protocol: WireProtocol;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Answers from here on are failures of the upstream. */
const FIRST_ERROR_STATUS = 500;

const HUNDREDTHS = 100;

/** Whether the upstream answered with a failure of its own. */
export function isErrorAnswer({status}: WholeAnswer): boolean {
  return status >= FIRST_ERROR_STATUS;
}

/** Reviews the attempts of one request. */
export class AttemptReview {
  readonly #call: Call;
  readonly #options: AttemptReviewOptions;

  constructor(call: Call, options: AttemptReviewOptions) {
    this.#call = call;
    this.#options = options;
  }

  /** Lets the result correct what is believed of the upstream and of the work. */
  learn({choice, startedAtMs}: Attempt, result: ExchangeResult): void {
    const nowMs = this.#options.clock.now();
    const {outlook} = choice.handle;
    outlook.onEnd(toEnd(result), nowMs);
    if (result.kind === 'answered' && !isErrorAnswer(result.answer)) {
      const tookMs = nowMs - startedAtMs;
      const factor = tookMs / Math.max(choice.estimateMs, 1);
      outlook.onPace(factor, nowMs);
      const work = this.#options.memory.work(this.#call.route);
      work.onAnswer(work.workMs * factor);
      const occupancy = this.#options.protocol.readOccupancy(
        result.answer.headers,
      );
      if (occupancy !== undefined) {
        outlook.onReport(occupancy, nowMs);
      }
    }
  }

  /** Tells the log of an attempt that failed, was repeated or was late. @param sent Attempts until now. */
  record(
    {choice, startedAtMs}: Attempt,
    result: ExchangeResult,
    sent: number,
  ): void {
    const nowMs = this.#options.clock.now();
    const {arrivedAtMs, route, requestId} = this.#call;
    const isLate = nowMs - arrivedAtMs > route.targetLatencyMs;
    const isPlain = result.kind === 'answered' && !isErrorAnswer(result.answer);
    if (isPlain && sent === 1 && !isLate) {
      return;
    }
    this.#options.log.record('attempt.ended', {
      request: requestId,
      route: route.name,
      version: this.#call.configurationVersion,
      attempt: sent,
      isLate,
      upstream: choice.handle.id,
      address: choice.handle.record.address,
      result: result.kind,
      status: result.kind === 'answered' ? result.answer.status : undefined,
      cause: 'message' in result ? result.message : undefined,
      estimateMs: Math.round(choice.estimateMs),
      reportAgeMs: Math.round(choice.reportAgeMs),
      slowdown: round(choice.slowdown),
      freeSlots: choice.freeSlots,
      failureShare: round(choice.failureShare),
      tookMs: Math.round(nowMs - startedAtMs),
    });
  }
}

function round(value: number): number {
  return Math.round(value * HUNDREDTHS) / HUNDREDTHS;
}

function toEnd(result: ExchangeResult): OutlookEnd {
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
