/** Sends one request to upstreams until it is answered or refused, with retries and hedges. */

import type {CompleteAnswer, ExchangeResult} from '../exchange/exchange.js';
import type {UpstreamHandle} from '../members/upstream-handle.js';
import {CrashTracker} from '../suspects/crash-tracker.js';
import type {RelayAttempt} from '../relay/relay-sender.js';
import {RequestRelay} from '../relay/request-relay.js';
import {AttemptRecorder, isErrorAnswer} from './attempt-recorder.js';
import {AttemptAdmission} from './attempt-admission.js';
import {isHedgeInTime} from './attempt-timing.js';
import {Hedging} from './hedging.js';
import {LimitGate} from './limit-gate.js';
import type {SelectedUpstream} from './upstream-selector.js';
import type {RequestDispatcherOptions} from './dispatcher-options.js';
import type {DispatchResult, UpstreamAnswer} from './dispatch-result.js';
import {Refusals} from './refusals.js';
import {MAXIMUM_UNSENT_ATTEMPTS, RequestRepeats} from './request-repeats.js';
import type {RefusalReason, RoutedRequest} from './routed-request.js';
import {
  isUpstreamAttempt,
  UpstreamSender,
  type PendingAttempt,
  type UpstreamAttempt,
} from './upstream-sender.js';

/** Sends one request and decides on its retries and hedges. */
export class RequestDispatcher {
  readonly #request: RoutedRequest;
  readonly #options: RequestDispatcherOptions;
  readonly #recorder: AttemptRecorder;
  readonly #crashTracker: CrashTracker;
  readonly #admission: AttemptAdmission;
  readonly #sender: UpstreamSender;
  readonly #relay: RequestRelay;
  readonly #hedging: Hedging;
  readonly #repeats: RequestRepeats;
  readonly #refusals: Refusals;
  /** Upstreams that were tried; further attempts go elsewhere. */
  readonly #tried = new Set<UpstreamHandle>();
  readonly #activeAttempts = new Set<PendingAttempt>();
  readonly #resolve: (result: DispatchResult) => void;
  /** Settles when the request has its answer; never rejects. */
  readonly result: Promise<DispatchResult>;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #isFinished = false;
  /** Whether an upstream may have run the request. */
  #mayHaveRun = false;
  #sentCount = 0;
  #unsentCount = 0;
  #lastErrorAnswer: UpstreamAnswer | undefined;
  #lastSelected: SelectedUpstream | undefined;

  constructor(request: RoutedRequest, options: RequestDispatcherOptions) {
    this.#request = request;
    this.#options = options;
    this.#recorder = new AttemptRecorder(request, options);
    const limitGate = new LimitGate(request, options);
    this.#admission = new AttemptAdmission(request, {...options, limitGate});
    this.#relay = new RequestRelay(request, options);
    this.#hedging = new Hedging(request, options);
    this.#repeats = new RequestRepeats(request, options);
    for (const id of request.relayed?.excluded ?? []) {
      this.#exclude(id);
    }
    const crashTracker = new CrashTracker(request, options);
    this.#crashTracker = crashTracker;
    this.#sender = new UpstreamSender(request, {...options, crashTracker});
    this.#refusals = new Refusals(request, {
      ...options,
      limitGate,
      crashTracker,
    });
    let resolveResult: (result: DispatchResult) => void = () => {};
    this.result = new Promise(resolve => (resolveResult = resolve));
    this.#resolve = resolveResult;
  }

  /** Starts the first attempt and the deadline timer. */
  start(): void {
    const remainingMs = this.#request.deadlineMs - this.#options.clock.now();
    this.#deadlineTimer = setTimeout(() => this.expire(), remainingMs);
    // The entry that relays a request counts it.
    if (this.#request.relayed === undefined) {
      this.#repeats.budget.onRequest(this.#options.clock.now());
    }
    void this.#startAttempt();
  }

  /** Called at the deadline, or when this process ends. */
  expire(): void {
    this.#mayHaveRun ||= this.#activeAttempts.size > 0;
    this.#endWithoutSuccess('timeout');
  }

  /** Aborts all attempts; called when the caller closes its connection. */
  cancel(): void {
    this.#end(undefined);
  }

  /** Selects an upstream and sends the request there. */
  async #startAttempt(): Promise<void> {
    if (this.#crashTracker.status === 'quarantined') {
      this.#endWithoutSuccess('quarantined');
      return;
    }
    const selected = await this.#admission.select(this.#tried);
    if (this.#isFinished) {
      return;
    }
    const obstacle = this.#admission.findObstacle(
      this.#mayHaveRun,
      this.#sentCount,
    );
    if (obstacle !== undefined) {
      this.#endWithoutSuccess(obstacle);
      return;
    }
    if (this.#relay.isUnreached(selected, this.#tried)) {
      if (this.#sendThroughEntry()) {
        return;
      }
      if (this.#relay.isLost()) {
        this.#endWithoutSuccess('unreached');
        return;
      }
    }
    if (selected === undefined) {
      this.#endWithoutSuccess(this.#refusals.reasonWithoutUpstream);
      return;
    }
    const decision = this.#admission.decide(selected, this.#mayHaveRun);
    switch (decision.kind) {
      case 'wait':
        await this.#admission.pause();
        return this.#isFinished ? undefined : this.#startAttempt();
      case 'refuse':
        this.#lastSelected = selected;
        this.#endWithoutSuccess(decision.reason);
        return;
      case 'send':
        this.#sendWithinBudget(selected);
    }
  }

  #sendWithinBudget(selected: SelectedUpstream): void {
    if (this.#sentCount > 0 && !this.#repeats.take()) {
      this.#endWithoutSuccess('attempts-spent');
      return;
    }
    this.#send(selected);
  }

  #send(selected: SelectedUpstream): void {
    this.#tried.add(selected.handle);
    this.#lastSelected = selected;
    const attempt = this.#sender.send(selected, (ended, result) =>
      this.#onAttemptEnd(ended, result),
    );
    if (attempt === undefined) {
      this.#retryAfterUnsent();
    } else {
      this.#onSent(attempt);
    }
  }

  #onSent(attempt: PendingAttempt): void {
    this.#admission.onSend();
    this.#activeAttempts.add(attempt);
    this.#sentCount += 1;
    this.#scheduleHedge(attempt);
  }

  /** Sends the request through another entry; returns false if none is likely to serve it. */
  #sendThroughEntry(): boolean {
    if (this.#sentCount > 0 && !this.#repeats.isAllowed()) {
      return false;
    }
    const attempt = this.#relay.send(this.#tried);
    if (attempt === undefined) {
      return false;
    }
    if (this.#sentCount > 0) {
      this.#repeats.take();
    }
    this.#onSent(attempt);
    void attempt.exchange.result.then(result =>
      this.#onRelayEnd(attempt, result),
    );
    return true;
  }

  #onRelayEnd(attempt: RelayAttempt, result: ExchangeResult): void {
    this.#activeAttempts.delete(attempt);
    const outcome = this.#options.relay.finish(attempt, result);
    if (this.#isFinished) {
      return;
    }
    switch (outcome.kind) {
      case 'answered':
        this.#exclude(outcome.upstream)?.readAnswer(outcome.answer, 'answer');
        this.#onAnswer(outcome.answer, outcome.upstream);
        return;
      case 'unreached':
        this.#sentCount -= 1;
        if (this.#activeAttempts.size === 0) {
          void this.#startAttempt();
        }
        return;
      case 'refused':
        this.#endWithoutSuccess(outcome.reason, outcome.retryAfterMs);
        return;
      case 'unknown':
        this.#mayHaveRun = true;
        this.#retry();
    }
  }

  #exclude(upstreamId: string): UpstreamHandle | undefined {
    const handle = this.#options.registry.find(upstreamId);
    if (handle !== undefined) {
      this.#tried.add(handle);
    }
    return handle;
  }

  #onAttemptEnd(attempt: UpstreamAttempt, result: ExchangeResult): void {
    this.#activeAttempts.delete(attempt);
    this.#recorder.updateStatistics(attempt, result);
    if (this.#isFinished) {
      return;
    }
    this.#recorder.logIfNotable(attempt, result, this.#sentCount);
    switch (result.kind) {
      case 'answered':
        this.#onAnswer(result.answer, attempt.selected.handle.id);
        return;
      case 'other-upstream':
        this.#options.registry.remove(attempt.selected.handle.record);
        this.#retry();
        return;
      case 'not-run':
        this.#retry();
        return;
      case 'not-sent':
        this.#sentCount -= 1;
        this.#retryAfterUnsent();
        return;
      case 'broken':
        this.#mayHaveRun = true;
        void this.#retryAfterBreak(attempt);
        return;
      case 'given-up':
        this.#mayHaveRun = true;
        this.#retry();
    }
  }

  /** Retries, unless another upstream crashed under a request that is suspected of that already. */
  async #retryAfterBreak(attempt: UpstreamAttempt): Promise<void> {
    const {handle} = attempt.selected;
    const mayRetry = await this.#crashTracker.onBreak(handle);
    if (this.#isFinished) {
      return;
    }
    if (mayRetry) {
      this.#retry();
    } else {
      this.#endWithoutSuccess('broken');
    }
  }

  #onAnswer(answer: CompleteAnswer, upstream: string): void {
    this.#mayHaveRun = true;
    const result: UpstreamAnswer = {kind: 'answer', answer, upstream};
    if (!isErrorAnswer(answer)) {
      this.#end(result);
      return;
    }
    this.#lastErrorAnswer = result;
    this.#retry();
  }

  /** Starts another attempt if the route and the repeat budget allow it; otherwise ends the request. */
  #retry(): void {
    if (this.#activeAttempts.size > 0) {
      return;
    }
    const {maximumAttempts, kind} = this.#request.route;
    const isSafeToRepeat = !this.#mayHaveRun || kind === 'idempotent';
    const isAllowed =
      isSafeToRepeat &&
      this.#sentCount <
        Math.max(maximumAttempts, 1 + Number(!this.#mayHaveRun));
    if (!isAllowed || !this.#repeats.isAllowed()) {
      this.#endWithoutSuccess(this.#mayHaveRun ? 'broken' : 'attempts-spent');
      return;
    }
    void this.#startAttempt();
  }

  /** Starts another attempt after one of which no byte was sent. */
  #retryAfterUnsent(): void {
    this.#unsentCount += 1;
    if (this.#activeAttempts.size > 0) {
      return;
    }
    if (this.#unsentCount >= MAXIMUM_UNSENT_ATTEMPTS) {
      if (!this.#sendThroughEntry()) {
        this.#endWithoutSuccess(this.#refusals.reasonWithoutSend);
      }
      return;
    }
    void this.#startAttempt();
  }

  /** Schedules a hedge for the case that the attempt takes much longer than estimated. */
  #scheduleHedge(attempt: PendingAttempt): void {
    const {maximumAttempts, kind} = this.#request.route;
    const isHedgeAllowed =
      kind === 'idempotent' &&
      this.#crashTracker.status === 'clear' &&
      this.#sentCount < maximumAttempts &&
      this.#activeAttempts.size === 1;
    if (isHedgeAllowed) {
      this.#hedging.schedule(attempt, () => this.#hedge(attempt));
    }
  }

  async #hedge(first: PendingAttempt): Promise<void> {
    if (!this.#mayHedge(first)) {
      return;
    }
    const selected = await this.#admission.select(this.#tried);
    if (!this.#mayHedge(first)) {
      return;
    }
    if (this.#relay.isUnreached(selected, this.#tried)) {
      this.#sendThroughEntry();
      return;
    }
    if (selected === undefined) {
      return;
    }
    const nowMs = this.#options.clock.now();
    const isInTime = isHedgeInTime(selected, this.#request, nowMs);
    if (isInTime && this.#repeats.take()) {
      this.#hedging.log(first, selected);
      this.#send(selected);
    }
  }

  #mayHedge(first: PendingAttempt): boolean {
    const isInFlight = !this.#isFinished && this.#activeAttempts.has(first);
    return (
      isInFlight && this.#hedging.isAffordable(first, this.#repeats.budget)
    );
  }

  /** Ends the request with the last error answer, or else with a refusal; does nothing while another attempt may succeed. */
  #endWithoutSuccess(reason: RefusalReason, retryAfterMs?: number): void {
    if (this.#activeAttempts.size > 0 && reason !== 'timeout') {
      return;
    }
    if (this.#lastErrorAnswer !== undefined) {
      this.#end(this.#lastErrorAnswer);
      return;
    }
    const refusal = this.#refusals.create(
      reason,
      !this.#mayHaveRun,
      this.#lastSelected,
      retryAfterMs,
    );
    this.#end({kind: 'refusal', refusal});
  }

  #end(result: DispatchResult): void {
    if (this.#isFinished) {
      return;
    }
    this.#isFinished = true;
    clearTimeout(this.#deadlineTimer);
    this.#hedging.cancel();
    this.#admission.endWait();
    const hasAnswer = result?.kind === 'answer';
    for (const attempt of this.#activeAttempts) {
      if (!hasAnswer && isUpstreamAttempt(attempt)) {
        this.#recorder.logIfNotable(
          attempt,
          {kind: 'given-up'},
          this.#sentCount,
        );
      }
      attempt.exchange.abort();
    }
    this.#resolve(result);
    void this.#crashTracker.onEnd(hasAnswer && !isErrorAnswer(result.answer));
  }
}
