/** Sends one request to upstreams until one answers it or its rule allows no further attempt. */

import type {IncomingHttpHeaders} from 'node:http';
import {LOAD_REPORT_HEADER, parseLoadReport} from '@wasabidyke/policy';
import type {Outcome} from '@wasabidyke/shared';
import type {
  AcquireRefusal,
  AcquireRequest,
  AcquireResult,
  ServicePool,
} from '../upstreams/service-pool.js';
import type {ProcessWatch} from '../upstreams/process-watch.js';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import {toAttemptEnd, type AttemptResult} from './attempt.js';
import {AttemptRace, type EndedAttempt} from './attempt-race.js';
import type {
  DispatchJob,
  DispatchResult,
  DispatcherOptions,
} from './dispatch-job.js';
import {UPSTREAM_STATE_HEADER} from './headers.js';
import type {Problem, ProblemReason} from './problem.js';
import {SuspectTracker} from './suspect-tracker.js';
import type {SuspectLock} from './suspect-lock.js';

/**
 * Limit of attempts that fail before any byte is sent. They put no load on
 * upstreams, so the retry budget doesn't limit them.
 */
const MAXIMUM_UNSENT_ATTEMPTS = 4;

/** The dispatch of one request. */
export class Dispatch {
  readonly #job: DispatchJob;
  readonly #options: DispatcherOptions;
  readonly #suspectLock: SuspectLock;
  readonly #suspectTracker: SuspectTracker;
  readonly #excluded = new Set<UpstreamHandle>();
  #race: AttemptRace | undefined;
  #cancelWait: (() => void) | undefined;
  #isCancelled = false;
  #mayHaveRun = false;
  #unsentAttempts = 0;
  #retries = 0;

  constructor(
    job: DispatchJob,
    options: DispatcherOptions,
    suspectLock: SuspectLock,
    processWatch: ProcessWatch,
  ) {
    this.#job = job;
    this.#options = options;
    this.#suspectLock = suspectLock;
    this.#suspectTracker = new SuspectTracker(job, options, processWatch);
  }

  /** Makes attempts until the request has a result; never rejects. */
  async run(): Promise<DispatchResult> {
    const timer = setTimeout(
      () => this.#giveUp(),
      this.#job.deadlineMs - this.#options.clock.now(),
    );
    this.#options.registry
      .findPool(this.#job.service.name)
      ?.hedgePlan.onRequest();
    try {
      return await this.#runAttempts();
    } finally {
      clearTimeout(timer);
      this.#suspectTracker.onEnd();
    }
  }

  /** Called when the caller has hung up. */
  cancel(): void {
    this.#isCancelled = true;
    this.#cancelWait?.();
    this.#giveUp();
  }

  /** Ends the request as at its deadline, because this process ends. */
  expire(): void {
    this.#cancelWait?.();
    this.#giveUp();
  }

  #giveUp(): void {
    this.#race?.giveUp();
  }

  async #runAttempts(): Promise<DispatchResult> {
    for (;;) {
      const state = this.#suspectTracker.state;
      if (state === 'quarantined') {
        return this.#fail('quarantined', 'It is refused for ten minutes.');
      }
      const result =
        state === 'suspect'
          ? await this.#runSuspect()
          : await this.#runAttempt();
      if (result !== undefined) {
        return result;
      }
    }
  }

  /** Runs a suspect request while no other suspect of its service runs, so that a further crash has one possible cause. */
  async #runSuspect(): Promise<DispatchResult | undefined> {
    const {service, deadlineMs} = this.#job;
    const remainingMs = deadlineMs - this.#options.clock.now();
    const release = await this.#suspectLock.acquire(service.name, remainingMs);
    if (release === undefined) {
      return this.#fail('deadline-exceeded', 'It waited for a run alone.');
    }
    try {
      return this.#suspectTracker.state === 'suspect'
        ? await this.#runAttempt()
        : undefined;
    } finally {
      release();
    }
  }

  /** Makes one attempt, with a hedge where allowed. Returns undefined when another is to follow. */
  async #runAttempt(): Promise<DispatchResult | undefined> {
    const pool = this.#options.registry.findPool(this.#job.service.name);
    if (pool === undefined) {
      return this.#fail('no-upstream', 'The service has just been removed.');
    }
    const acquired = await this.#acquire(pool);
    if (acquired.kind === 'refused') {
      return this.#handleRefusal(acquired.reason);
    }
    return this.#sendTo(pool, acquired.handle, acquired.startedAtMs);
  }

  async #acquire(pool: ServicePool): Promise<AcquireResult> {
    if (this.#isCancelled) {
      return {kind: 'refused', reason: 'cancelled'};
    }
    const {rule, deadlineMs} = this.#job;
    const excluded = this.#excluded;
    const request: AcquireRequest = {rule, deadlineMs, excluded};
    const handle =
      pool.queueLength === 0 ? pool.tryAcquire(request) : undefined;
    if (handle !== undefined) {
      const startedAtMs = this.#options.clock.now();
      handle.onStart(startedAtMs);
      return {kind: 'acquired', handle, startedAtMs};
    }
    const ticket = pool.wait(request);
    this.#cancelWait = ticket.cancel;
    const result = await ticket.result;
    this.#cancelWait = undefined;
    return result;
  }

  async #sendTo(
    pool: ServicePool,
    handle: UpstreamHandle,
    startedAtMs: number,
  ): Promise<DispatchResult | undefined> {
    const race = new AttemptRace({
      request: this.#job.request,
      sink: this.#job.sink,
      onAnswerHead: (from, headers) => this.#onAnswerHead(from, headers),
      onAttemptEnd: ended => this.#onAttemptEnd(pool, ended),
    });
    this.#race = race;
    this.#suspectTracker.onSend(handle);
    race.start(handle, startedAtMs);
    if (this.#isCancelledOrExpired()) {
      race.giveUp();
    }
    const hedgeTimer = this.#scheduleHedge(pool, race, handle);
    const ended = await race.result;
    clearTimeout(hedgeTimer);
    this.#race = undefined;
    return this.#handleResult(ended.result);
  }

  /** Schedules a second attempt for when the first takes longer than most. */
  #scheduleHedge(
    pool: ServicePool,
    race: AttemptRace,
    first: UpstreamHandle,
  ): NodeJS.Timeout | undefined {
    const {rule, depth} = this.#job;
    const {delayMs} = pool.hedgePlan;
    const mayHedge =
      rule.hedge &&
      rule.kind === 'idempotent' &&
      depth === 0 &&
      delayMs !== undefined &&
      this.#isReplayable() &&
      this.#suspectTracker.state === 'clear';
    return mayHedge
      ? setTimeout(() => this.#startHedge(pool, race, first), delayMs)
      : undefined;
  }

  /** Noisy neighbours slow all upstreams of a VM at once, so the hedge goes to another VM. */
  #startHedge(
    pool: ServicePool,
    race: AttemptRace,
    first: UpstreamHandle,
  ): void {
    if (race.isOver || this.#isCancelledOrExpired() || pool.queueLength > 0) {
      return;
    }
    const {vm} = first.load.upstream;
    const sameVm = pool.handles.filter(({load}) => load.upstream.vm === vm);
    const excluded = new Set([...this.#excluded, ...sameVm]);
    const {rule, deadlineMs} = this.#job;
    const second = pool.tryAcquire({rule, deadlineMs, excluded});
    const isAllowed =
      second !== undefined &&
      pool.hedgePlan.take() &&
      this.#options.retryBudget.take();
    if (second === undefined || !isAllowed) {
      return;
    }
    const startedAtMs = this.#options.clock.now();
    second.onStart(startedAtMs);
    this.#suspectTracker.onSend(second);
    race.start(second, startedAtMs);
  }

  #onAttemptEnd(pool: ServicePool, ended: EndedAttempt): void {
    const {handle, result, startedAtMs, hasLost} = ended;
    const durationMs = this.#options.clock.now() - startedAtMs;
    if (hasLost) {
      handle.onEnd('cancelled', durationMs);
    } else {
      this.#recordEnd(handle, result, durationMs);
    }
    if (hasLost || result.kind === 'answered') {
      pool.hedgePlan.onAnswer(durationMs);
    }
    if (result.kind === 'broken' || result.kind === 'given-up') {
      this.#mayHaveRun = true;
    }
    this.#suspectTracker.onResult(handle, result);
    this.#excluded.add(handle);
    pool.onEnd(durationMs);
  }

  #recordEnd(
    handle: UpstreamHandle,
    result: AttemptResult,
    durationMs: number,
  ): void {
    if (result.kind === 'not-sent' && !this.#isCancelledOrExpired()) {
      handle.onUnreachable(durationMs);
    } else if (result.kind === 'answered' && result.status >= 500) {
      handle.onErrorAnswer(durationMs);
    } else {
      handle.onEnd(toAttemptEnd(result, this.#isCancelled), durationMs);
    }
  }

  async #handleResult(
    result: AttemptResult,
  ): Promise<DispatchResult | undefined> {
    switch (result.kind) {
      case 'answered':
        this.#suspectTracker.onAnswer(result.status);
        return {kind: 'answered'};
      case 'not-sent':
        return this.#handleUnsent(result.message);
      case 'shed':
        return this.#handleShed(result.retryAfterSeconds);
      case 'broken':
        return this.#handleBroken(result);
      case 'given-up':
        return this.#handleGivenUp();
    }
  }

  #handleRefusal(reason: AcquireRefusal): DispatchResult {
    if (reason === 'cancelled') {
      return this.#isCancelled
        ? {kind: 'broken-off'}
        : this.#fail('deadline-exceeded', 'This entry stops.');
    }
    const hasTriedAll = reason === 'no-upstream' && this.#mayHaveRun;
    return hasTriedAll
      ? this.#fail('upstream-failed', 'No other upstream is left to try.')
      : this.#fail(reason, 'No upstream had room in time.');
  }

  #handleUnsent(message: string): DispatchResult | undefined {
    if (this.#isCancelled) {
      return {kind: 'broken-off'};
    }
    if (this.#isCancelledOrExpired()) {
      return this.#fail('deadline-exceeded', 'It was not sent in time.');
    }
    this.#unsentAttempts += 1;
    const mayTryAgain =
      this.#unsentAttempts < MAXIMUM_UNSENT_ATTEMPTS && this.#isBodySendable();
    return mayTryAgain ? undefined : this.#fail('no-upstream', message);
  }

  #handleShed(retryAfterSeconds: number): DispatchResult | undefined {
    const mayTryAgain = this.#isReplayable() && this.#takeRetry();
    if (mayTryAgain) {
      return undefined;
    }
    const problem = this.#createProblem('overloaded', 'The upstream shed it.');
    return {kind: 'problem', problem: {...problem, retryAfterSeconds}};
  }

  async #handleBroken(
    result: Extract<AttemptResult, {kind: 'broken'}>,
  ): Promise<DispatchResult | undefined> {
    await this.#suspectTracker.settled();
    if (this.#job.sink.isCommitted) {
      return {kind: 'broken-off'};
    }
    const mayTryAgain =
      this.#job.rule.kind === 'idempotent' &&
      this.#job.depth === 0 &&
      this.#retries < this.#job.rule.retries &&
      this.#isReplayable() &&
      this.#takeRetry();
    if (mayTryAgain) {
      this.#retries += 1;
      return undefined;
    }
    const isQuarantined = this.#suspectTracker.state === 'quarantined';
    const reason = isQuarantined ? 'quarantined' : 'upstream-failed';
    return this.#fail(reason, result.message);
  }

  #handleGivenUp(): DispatchResult {
    if (this.#isCancelled || this.#job.sink.isCommitted) {
      return {kind: 'broken-off'};
    }
    return this.#fail('deadline-exceeded', 'The upstream did not answer.');
  }

  #onAnswerHead(handle: UpstreamHandle, headers: IncomingHttpHeaders): void {
    const report = headers[LOAD_REPORT_HEADER];
    if (typeof report === 'string') {
      const parsed = parseLoadReport(report, this.#options.clock.now());
      if (parsed !== undefined) {
        handle.load.onReport(parsed);
      }
    }
    if (headers[UPSTREAM_STATE_HEADER] === 'leaving') {
      this.#options.onLeavingSignal(handle);
    }
  }

  #takeRetry(): boolean {
    return !this.#isCancelledOrExpired() && this.#options.retryBudget.take();
  }

  #isCancelledOrExpired(): boolean {
    return (
      this.#isCancelled || this.#options.clock.now() >= this.#job.deadlineMs
    );
  }

  #isReplayable(): boolean {
    const {body} = this.#job.request;
    return body === null || Buffer.isBuffer(body);
  }

  #isBodySendable(): boolean {
    const {body} = this.#job.request;
    return body === null || Buffer.isBuffer(body) || !body.destroyed;
  }

  #fail(reason: ProblemReason, detail: string): DispatchResult {
    return {kind: 'problem', problem: this.#createProblem(reason, detail)};
  }

  #createProblem(reason: ProblemReason, detail: string): Problem {
    const outcome: Outcome = this.#mayHaveRun ? 'unknown' : 'not-run';
    return {reason, outcome, detail};
  }
}
