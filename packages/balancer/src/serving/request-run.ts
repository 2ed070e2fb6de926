/** Brings one request to an answer: one attempt after another, or two side by side. */

import {comeBackMs, hedgeReserve, type RandomSource} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import {
  Exchange,
  type ExchangeResult,
  type WholeAnswer,
} from '../exchange/exchange.js';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {UpstreamHandle} from '../members/upstream-handle.js';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import {AttemptReview, isErrorAnswer, type Attempt} from './attempt-review.js';
import type {Call, Refusal, RefusalBelief, RefusalReason} from './call.js';
import type {Choice, Chooser} from './chooser.js';
import type {RouteMemory} from './route-memory.js';

/** What a run needs. */
export interface RequestRunOptions {
  readonly chooser: Chooser;
  readonly memory: RouteMemory;
  readonly registry: UpstreamRegistry;
  readonly protocol: WireProtocol;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** How a run ended; undefined when the caller has left. */
export type RunResult =
  | {readonly kind: 'answer'; readonly answer: WholeAnswer}
  | {readonly kind: 'refusal'; readonly refusal: Refusal}
  | undefined;

/** Sends that may fail before any byte has left: they cost upstreams nothing. */
const MAXIMUM_UNSENT = 4;

/** A second attempt starts once the first takes this many times its estimate. */
const HEDGE_FACTOR = 1.6;

/** Shortest time before a second attempt, in milliseconds. */
const SHORTEST_HEDGE_MS = 25;

/** Share of the time that is left which a second attempt may be estimated to take. */
const HEDGE_ROOM_SHARE = 0.9;

/** Bytes of a usual answer with its headers, for what a transfer costs. */
const USUAL_ANSWER_BYTES = 1_200;

/** One request under way. */
export class RequestRun {
  readonly #call: Call;
  readonly #options: RequestRunOptions;
  readonly #review: AttemptReview;
  readonly #excluded = new Set<UpstreamHandle>();
  readonly #active = new Set<Attempt>();
  readonly #finish: (result: RunResult) => void;
  /** Settles when the request has its answer; never rejects. */
  readonly result: Promise<RunResult>;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #hedgeTimer: NodeJS.Timeout | undefined;
  #isFinished = false;
  #hasRun = false;
  #sent = 0;
  #unsent = 0;
  #fallback: WholeAnswer | undefined;
  #lastChoice: Choice | undefined;

  constructor(call: Call, options: RequestRunOptions) {
    this.#call = call;
    this.#options = options;
    this.#review = new AttemptReview(call, options);
    let finish: (result: RunResult) => void = () => {};
    this.result = new Promise(resolve => (finish = resolve));
    this.#finish = finish;
  }

  /** Starts the first attempt. */
  start(): void {
    const leftMs = this.#call.deadlineMs - this.#options.clock.now();
    this.#deadlineTimer = setTimeout(() => this.#onDeadline(), leftMs);
    this.#budget.onRequest(this.#options.clock.now());
    void this.#attempt();
  }

  /** The caller has left. */
  cancel(): void {
    this.#end(undefined);
  }

  get #budget() {
    return this.#options.memory.budget(this.#call.service);
  }

  get #isRepeatable(): boolean {
    return this.#call.route.kind === 'idempotent';
  }

  /** Chooses an upstream and sends the request there. */
  async #attempt(): Promise<void> {
    const choice = await this.#choose();
    if (this.#isFinished) {
      return;
    }
    if (choice === undefined) {
      this.#giveIn('no-upstream');
      return;
    }
    const leftMs = this.#call.deadlineMs - this.#options.clock.now();
    if (choice.estimateMs > leftMs) {
      this.#lastChoice = choice;
      this.#giveIn('no-room');
      return;
    }
    if (this.#sent > 0 && !this.#budget.take(this.#options.clock.now())) {
      this.#giveIn('attempts-spent');
      return;
    }
    this.#send(choice);
  }

  #choose(): Promise<Choice | undefined> {
    const {route, service, loadPath, body, arrivedAtMs, deadlineMs} =
      this.#call;
    return this.#options.chooser.choose({
      service,
      loadPath,
      work: this.#options.memory.work(route),
      targetAtMs: arrivedAtMs + route.targetLatencyMs,
      deadlineMs,
      bytes: USUAL_ANSWER_BYTES + (body?.length ?? 0),
      excluded: this.#excluded,
    });
  }

  #send(choice: Choice): void {
    const {handle} = choice;
    const {clock, protocol} = this.#options;
    const connection = handle.connections.take();
    this.#excluded.add(handle);
    this.#lastChoice = choice;
    if (connection === undefined) {
      this.#retryUnsent();
      return;
    }
    const startedAtMs = clock.now();
    const leftMs = Math.max(1, Math.floor(this.#call.deadlineMs - startedAtMs));
    const {method, url, headers, body, requestId} = this.#call;
    const statement = {leftMs, upstreamId: handle.id};
    const exchange = new Exchange(
      connection,
      {
        method,
        path: url,
        headers: protocol.toUpstream(headers, statement),
        body,
      },
      (status, answerHeaders) =>
        protocol.readAnswer(status, answerHeaders, requestId),
    );
    const attempt = {choice, exchange, startedAtMs};
    this.#active.add(attempt);
    this.#sent += 1;
    handle.outlook.onSend();
    exchange.start();
    this.#planHedge(attempt);
    void exchange.result.then(result => {
      handle.release(connection, exchange);
      this.#onAttemptEnd(attempt, result);
    });
  }

  #onAttemptEnd(attempt: Attempt, result: ExchangeResult): void {
    this.#active.delete(attempt);
    this.#review.learn(attempt, result);
    if (this.#isFinished) {
      return;
    }
    this.#review.record(attempt, result, this.#sent);
    switch (result.kind) {
      case 'answered':
        this.#onAnswer(result.answer);
        return;
      case 'other-upstream':
        this.#options.registry.remove(attempt.choice.handle.record);
        this.#retry();
        return;
      case 'not-run':
        this.#retry();
        return;
      case 'not-sent':
        this.#sent -= 1;
        this.#retryUnsent();
        return;
      case 'broken':
      case 'given-up':
        this.#hasRun = true;
        this.#retry();
    }
  }

  #onAnswer(answer: WholeAnswer): void {
    this.#hasRun = true;
    if (!isErrorAnswer(answer)) {
      this.#end({kind: 'answer', answer});
      return;
    }
    this.#fallback = answer;
    this.#retry();
  }

  /** Makes another attempt where the rules allow it, or gives in. */
  #retry(): void {
    if (this.#active.size > 0) {
      return;
    }
    const {maximumAttempts} = this.#call.route;
    const mayRunAgain = !this.#hasRun || this.#isRepeatable;
    const isAllowed =
      mayRunAgain &&
      this.#sent < Math.max(maximumAttempts, 1 + Number(!this.#hasRun));
    if (!isAllowed || !this.#budget.has(this.#options.clock.now())) {
      this.#giveIn(this.#hasRun ? 'broken' : 'attempts-spent');
      return;
    }
    void this.#attempt();
  }

  #retryUnsent(): void {
    this.#unsent += 1;
    if (this.#active.size > 0) {
      return;
    }
    if (this.#unsent >= MAXIMUM_UNSENT) {
      this.#giveIn('no-upstream');
      return;
    }
    void this.#attempt();
  }

  /** Plans a second attempt for when the first takes much longer than expected. */
  #planHedge(attempt: Attempt): void {
    const mayHedge =
      this.#isRepeatable &&
      this.#sent < this.#call.route.maximumAttempts &&
      this.#active.size === 1;
    if (!mayHedge) {
      return;
    }
    const afterMs = Math.max(
      SHORTEST_HEDGE_MS,
      attempt.choice.estimateMs * HEDGE_FACTOR,
    );
    this.#hedgeTimer = setTimeout(() => void this.#hedge(attempt), afterMs);
  }

  async #hedge(first: Attempt): Promise<void> {
    if (!this.#isHedgeUseful(first)) {
      return;
    }
    const choice = await this.#choose();
    if (choice === undefined || !this.#isHedgeUseful(first)) {
      return;
    }
    const nowMs = this.#options.clock.now();
    const targetLeftMs =
      this.#call.arrivedAtMs + this.#call.route.targetLatencyMs - nowMs;
    const leftMs =
      targetLeftMs > 0 ? targetLeftMs : this.#call.deadlineMs - nowMs;
    const isInTime = choice.estimateMs < leftMs * HEDGE_ROOM_SHARE;
    if (isInTime && this.#budget.take(nowMs)) {
      this.#options.log.record('request.hedged', {
        request: this.#call.requestId,
        upstream: choice.handle.id,
        estimateMs: Math.round(choice.estimateMs),
        firstUpstream: first.choice.handle.id,
        firstEstimateMs: Math.round(first.choice.estimateMs),
        firstElapsedMs: Math.round(nowMs - first.startedAtMs),
      });
      this.#send(choice);
    }
  }

  #isHedgeUseful(first: Attempt): boolean {
    const nowMs = this.#options.clock.now();
    const {registry} = this.#options;
    const {service} = this.#call;
    const level = registry.failureLevel(
      service,
      first.choice.handle.outlook.distance,
    );
    const kept = hedgeReserve(level.share(nowMs), this.#budget.ratio);
    const isUnderWay = !this.#isFinished && this.#active.has(first);
    return isUnderWay && this.#budget.has(nowMs, kept);
  }

  #onDeadline(): void {
    this.#hasRun ||= this.#active.size > 0;
    this.#giveIn('timeout');
  }

  /** Ends the request without a good answer. */
  #giveIn(reason: RefusalReason): void {
    if (this.#active.size > 0 && reason !== 'timeout') {
      return;
    }
    if (this.#fallback !== undefined) {
      this.#end({kind: 'answer', answer: this.#fallback});
      return;
    }
    const isNotRun = !this.#hasRun;
    const refusal = {
      reason,
      isNotRun,
      comeBackMs: isNotRun ? this.#comeBackMs() : undefined,
      belief: this.#lastChoice && toBelief(this.#lastChoice),
    };
    this.#end({kind: 'refusal', refusal});
  }

  #comeBackMs(): number {
    const choice = this.#lastChoice;
    const {workMs} = this.#options.memory.work(this.#call.route);
    if (choice === undefined) {
      return comeBackMs(1, workMs, this.#options.random);
    }
    const {outlook} = choice.handle;
    const excess = -outlook.freeSlots(this.#options.clock.now());
    return comeBackMs(
      excess,
      workMs / Math.max(1, outlook.slots),
      this.#options.random,
    );
  }

  #end(result: RunResult): void {
    if (this.#isFinished) {
      return;
    }
    this.#isFinished = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#hedgeTimer);
    const hasAnswer = result?.kind === 'answer';
    for (const attempt of this.#active) {
      if (!hasAnswer) {
        this.#review.record(attempt, {kind: 'given-up'}, this.#sent);
      }
      attempt.exchange.giveUp();
    }
    this.#finish(result);
  }
}

function toBelief(choice: Choice): RefusalBelief {
  const {handle, estimateMs, reportAgeMs, freeSlots} = choice;
  return {upstream: handle.id, estimateMs, reportAgeMs, freeSlots};
}
