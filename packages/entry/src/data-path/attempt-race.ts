/** One attempt, or two that race: the first whose answer begins is relayed, the other is given up. */

import type {IncomingHttpHeaders} from 'node:http';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import {AnswerSink, type FlowControl} from './answer-sink.js';
import {Attempt, type AttemptRequest, type AttemptResult} from './attempt.js';

/** How one attempt of a race ended. */
export interface RunEnd {
  readonly handle: UpstreamHandle;
  readonly result: AttemptResult;
  readonly startedAtMs: number;
  /** Whether it was given up because the other one's answer had begun. */
  readonly hasLost: boolean;
}

/** What a race needs. */
export interface AttemptRaceOptions {
  readonly request: AttemptRequest;
  /** Takes the answer of the attempt that wins. */
  readonly sink: AnswerSink;
  readonly onAnswerHead: (
    handle: UpstreamHandle,
    headers: IncomingHttpHeaders,
  ) => void;
  /** Called once for each attempt, before the race is decided by it. */
  readonly onRunEnd: (end: RunEnd) => void;
}

interface Run {
  readonly handle: UpstreamHandle;
  readonly attempt: Attempt;
  readonly startedAtMs: number;
}

/** Attempts of one request that race. */
export class AttemptRace {
  /** The end that decides: the winner's, or the last one's where none won. */
  readonly result: Promise<RunEnd>;
  readonly #options: AttemptRaceOptions;
  readonly #underWay = new Set<Run>();
  readonly #decide: (end: RunEnd) => void;
  #winner: Run | undefined;
  #isDecided = false;

  constructor(options: AttemptRaceOptions) {
    this.#options = options;
    let decide: (end: RunEnd) => void = () => {};
    this.result = new Promise(resolve => (decide = resolve));
    this.#decide = decide;
  }

  /** Whether an answer has begun, or the race is decided. */
  get isOver(): boolean {
    return this.#isDecided || this.#winner !== undefined;
  }

  /** Starts an attempt. */
  start(handle: UpstreamHandle, startedAtMs: number): void {
    const {request, onAnswerHead} = this.#options;
    const sink = new RacingSink(this.#options.sink, () => this.#claim(run));
    const attempt = new Attempt({
      dispatcher: handle.pool,
      request,
      sink,
      onAnswerHead: headers => onAnswerHead(handle, headers),
    });
    const run: Run = {handle, attempt, startedAtMs};
    this.#underWay.add(run);
    attempt.start();
    void attempt.result.then(result => this.#onEnd(run, result));
  }

  /** Gives every attempt up. */
  giveUp(): void {
    for (const {attempt} of this.#underWay) {
      attempt.giveUp();
    }
  }

  /** The answer of `run` begins. Returns whether it is the one to relay. */
  #claim(run: Run): boolean {
    if (this.#winner !== undefined) {
      return this.#winner === run;
    }
    this.#winner = run;
    for (const other of this.#underWay) {
      if (other !== run) {
        other.attempt.giveUp();
      }
    }
    return true;
  }

  #onEnd(run: Run, result: AttemptResult): void {
    this.#underWay.delete(run);
    const {handle, startedAtMs} = run;
    const hasLost = this.#winner !== undefined && this.#winner !== run;
    const end: RunEnd = {handle, result, startedAtMs, hasLost};
    this.#options.onRunEnd(end);
    const isDeciding = this.#winner === run || this.#underWay.size === 0;
    if (isDeciding && !hasLost && !this.#isDecided) {
      this.#isDecided = true;
      this.#decide(end);
    }
  }
}

/** Lets an answer through to the sink once its attempt has won. */
class RacingSink extends AnswerSink {
  readonly #sink: AnswerSink;
  readonly #claim: () => boolean;
  #hasWon = false;

  constructor(sink: AnswerSink, claim: () => boolean) {
    super();
    this.#sink = sink;
    this.#claim = claim;
  }

  override get isCommitted(): boolean {
    return this.#hasWon && this.#sink.isCommitted;
  }

  override onHead(
    status: number,
    headers: IncomingHttpHeaders,
    flow: FlowControl,
  ): void {
    this.#hasWon = this.#claim();
    if (this.#hasWon) {
      this.#sink.onHead(status, headers, flow);
    }
  }

  override onData(chunk: Buffer): void {
    if (this.#hasWon) {
      this.#sink.onData(chunk);
    }
  }

  override onEnd(trailers: IncomingHttpHeaders): void {
    if (this.#hasWon) {
      this.#sink.onEnd(trailers);
    }
  }

  override onBroken(): void {
    if (this.#hasWon) {
      this.#sink.onBroken();
    }
  }
}
