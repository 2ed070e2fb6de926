/** Sends one request to upstreams until one has answered it or its rules allow no more. */

import type {IncomingHttpHeaders} from 'node:http';
import {
  LOAD_REPORT_HEADER,
  parseLoadReport,
  type AttemptEnd,
} from '@wasabidyke/policy';
import type {Outcome} from '@wasabidyke/shared';
import type {
  AcquireRefusal,
  AcquireRequest,
  AcquireResult,
  ServicePool,
} from '../upstreams/service-pool.js';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import type {AttemptResult} from './attempt.js';
import {AttemptRace, type RunEnd} from './attempt-race.js';
import type {
  DispatchJob,
  DispatchResult,
  DispatcherOptions,
} from './dispatch-job.js';
import {UPSTREAM_STATE_HEADER} from './headers.js';
import type {Problem, ProblemReason} from './problem.js';
import {Suspicion} from './suspicion.js';
import type {TrialLock} from './trial-lock.js';

/** Attempts that may fail before any byte was sent; they cost upstreams nothing. */
const MAXIMUM_UNSENT_ATTEMPTS = 4;

/** One request under way. */
export class Dispatch {
  readonly #job: DispatchJob;
  readonly #options: DispatcherOptions;
  readonly #trialLock: TrialLock;
  readonly #suspicion: Suspicion;
  readonly #excluded = new Set<UpstreamHandle>();
  readonly #breakReports: Array<Promise<void>> = [];
  #race: AttemptRace | undefined;
  #cancelWait: (() => void) | undefined;
  #isCancelled = false;
  #hasRun = false;
  #unsentAttempts = 0;
  #retries = 0;

  constructor(
    job: DispatchJob,
    options: DispatcherOptions,
    trialLock: TrialLock,
  ) {
    this.#job = job;
    this.#options = options;
    this.#trialLock = trialLock;
    this.#suspicion = new Suspicion(job, options);
  }

  /** Runs the request to its end; never rejects. */
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
    }
  }

  /** The caller hung up. */
  cancel(): void {
    this.#isCancelled = true;
    this.#cancelWait?.();
    this.#giveUp();
  }

  #giveUp(): void {
    this.#race?.giveUp();
  }

  async #runAttempts(): Promise<DispatchResult> {
    for (;;) {
      const standing = this.#suspicion.standing;
      if (standing === 'quarantined') {
        return this.#fail('quarantined', 'It is refused for ten minutes.');
      }
      const result =
        standing === 'suspect' ? await this.#runTrial() : await this.#runOnce();
      if (result !== undefined) {
        return result;
      }
    }
  }

  /** A suspect is run alone, so that a further break has one cause. */
  async #runTrial(): Promise<DispatchResult | undefined> {
    const {service, deadlineMs} = this.#job;
    const leftMs = deadlineMs - this.#options.clock.now();
    const release = await this.#trialLock.acquire(service.name, leftMs);
    if (release === undefined) {
      return this.#fail('deadline-exceeded', 'It waited for a run alone.');
    }
    try {
      return this.#suspicion.standing === 'suspect'
        ? await this.#runOnce()
        : undefined;
    } finally {
      release();
    }
  }

  /** Returns undefined when another attempt is to be made. */
  async #runOnce(): Promise<DispatchResult | undefined> {
    const pool = this.#options.registry.findPool(this.#job.service.name);
    if (pool === undefined) {
      return this.#fail('no-upstream', 'The service has just been removed.');
    }
    const acquired = await this.#acquire(pool);
    if (acquired.kind === 'refused') {
      return this.#judgeRefusal(acquired.reason);
    }
    return this.#runAt(pool, acquired.handle, acquired.startedAtMs);
  }

  async #acquire(pool: ServicePool): Promise<AcquireResult> {
    if (this.#isCancelled) {
      return {kind: 'refused', reason: 'cancelled'};
    }
    const {rule, deadlineMs} = this.#job;
    const excluded = this.#excluded;
    const request: AcquireRequest = {rule, deadlineMs, excluded};
    const handle = pool.waiting === 0 ? pool.tryAcquire(request) : undefined;
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

  async #runAt(
    pool: ServicePool,
    handle: UpstreamHandle,
    startedAtMs: number,
  ): Promise<DispatchResult | undefined> {
    const race = new AttemptRace({
      request: this.#job.request,
      sink: this.#job.sink,
      onAnswerHead: (from, headers) => this.#onAnswerHead(from, headers),
      onRunEnd: end => this.#onRunEnd(pool, end),
    });
    this.#race = race;
    race.start(handle, startedAtMs);
    if (this.#isOver()) {
      race.giveUp();
    }
    const hedgeTimer = this.#scheduleHedge(pool, race, handle);
    const end = await race.result;
    clearTimeout(hedgeTimer);
    this.#race = undefined;
    return this.#judge(end.result);
  }

  /** Has a second attempt made elsewhere when the first takes longer than most. */
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
      this.#suspicion.standing === 'clear';
    return mayHedge
      ? setTimeout(() => this.#hedge(pool, race, first), delayMs)
      : undefined;
  }

  /** Neighbours slow all upstreams of a VM at once, so the second attempt goes to another VM. */
  #hedge(pool: ServicePool, race: AttemptRace, first: UpstreamHandle): void {
    if (race.isOver || this.#isOver() || pool.waiting > 0) {
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
    race.start(second, startedAtMs);
  }

  #onRunEnd(pool: ServicePool, end: RunEnd): void {
    const {handle, result, startedAtMs, hasLost} = end;
    const durationMs = this.#options.clock.now() - startedAtMs;
    if (hasLost) {
      handle.onEnd('cancelled', durationMs);
    } else {
      this.#settleLoad(handle, result, durationMs);
    }
    if (hasLost || result.kind === 'answered') {
      pool.hedgePlan.onAnswer(durationMs);
    }
    if (result.kind === 'broken' || result.kind === 'given-up') {
      this.#hasRun = true;
    }
    if (result.kind === 'broken' && result.isConnectionLost) {
      this.#breakReports.push(this.#suspicion.onBreak(handle));
    }
    this.#excluded.add(handle);
    pool.onEnd(durationMs);
  }

  #settleLoad(
    handle: UpstreamHandle,
    result: AttemptResult,
    durationMs: number,
  ): void {
    if (result.kind === 'not-sent' && !this.#isOver()) {
      handle.onUnreachable(durationMs);
    } else if (result.kind === 'answered' && result.status >= 500) {
      handle.onErrorAnswer(durationMs);
    } else {
      handle.onEnd(toAttemptEnd(result, this.#isCancelled), durationMs);
    }
  }

  async #judge(result: AttemptResult): Promise<DispatchResult | undefined> {
    switch (result.kind) {
      case 'answered':
        this.#suspicion.onAnswer();
        return {kind: 'answered'};
      case 'not-sent':
        return this.#judgeUnsent(result.message);
      case 'shed':
        return this.#judgeShed(result.retryAfterSeconds);
      case 'broken':
        return this.#judgeBroken(result);
      case 'given-up':
        return this.#judgeGivenUp();
    }
  }

  #judgeRefusal(reason: AcquireRefusal): DispatchResult {
    if (reason === 'cancelled') {
      return {kind: 'broken-off'};
    }
    const hasNoOther = reason === 'no-upstream' && this.#hasRun;
    return hasNoOther
      ? this.#fail('upstream-failed', 'No other upstream is left to try.')
      : this.#fail(reason, 'No upstream had room in time.');
  }

  #judgeUnsent(message: string): DispatchResult | undefined {
    if (this.#isCancelled) {
      return {kind: 'broken-off'};
    }
    if (this.#isOver()) {
      return this.#fail('deadline-exceeded', 'It was not sent in time.');
    }
    this.#unsentAttempts += 1;
    const mayTryAgain =
      this.#unsentAttempts < MAXIMUM_UNSENT_ATTEMPTS && this.#isBodyUsable();
    return mayTryAgain ? undefined : this.#fail('no-upstream', message);
  }

  #judgeShed(retryAfterSeconds: number): DispatchResult | undefined {
    const mayTryAgain = this.#isReplayable() && this.#takeRetry();
    if (mayTryAgain) {
      return undefined;
    }
    const problem = this.#createProblem('overloaded', 'The upstream shed it.');
    return {kind: 'problem', problem: {...problem, retryAfterSeconds}};
  }

  async #judgeBroken(
    result: Extract<AttemptResult, {kind: 'broken'}>,
  ): Promise<DispatchResult | undefined> {
    await Promise.all(this.#breakReports);
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
    const isQuarantined = this.#suspicion.standing === 'quarantined';
    const reason = isQuarantined ? 'quarantined' : 'upstream-failed';
    return this.#fail(reason, result.message);
  }

  #judgeGivenUp(): DispatchResult {
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
    return !this.#isOver() && this.#options.retryBudget.take();
  }

  #isOver(): boolean {
    return (
      this.#isCancelled || this.#options.clock.now() >= this.#job.deadlineMs
    );
  }

  #isReplayable(): boolean {
    const {body} = this.#job.request;
    return body === null || Buffer.isBuffer(body);
  }

  #isBodyUsable(): boolean {
    const {body} = this.#job.request;
    return body === null || Buffer.isBuffer(body) || !body.destroyed;
  }

  #fail(reason: ProblemReason, detail: string): DispatchResult {
    return {kind: 'problem', problem: this.#createProblem(reason, detail)};
  }

  #createProblem(reason: ProblemReason, detail: string): Problem {
    const outcome: Outcome = this.#hasRun ? 'unknown' : 'not-run';
    return {reason, outcome, detail};
  }
}

function toAttemptEnd(result: AttemptResult, isCancelled: boolean): AttemptEnd {
  switch (result.kind) {
    case 'answered':
      return 'answered';
    case 'shed':
      return 'shed';
    case 'broken':
      return 'failed';
    case 'given-up':
      return isCancelled ? 'cancelled' : 'failed';
    case 'not-sent':
      return 'cancelled';
  }
}
