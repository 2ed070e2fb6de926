/** Runs one attempt, or two in a race: the first whose answer begins is relayed, the other is given up. */

import type {IncomingHttpHeaders} from 'node:http';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import {AnswerSink, type FlowControl} from './answer-sink.js';
import {Attempt, type AttemptRequest, type AttemptResult} from './attempt.js';

/** An attempt of a race that has ended. */
export interface EndedAttempt {
  readonly handle: UpstreamHandle;
  readonly result: AttemptResult;
  readonly startedAtMs: number;
  /** Whether the answer of another attempt began first. */
  readonly hasLost: boolean;
}

/** Options of `AttemptRace`. */
export interface AttemptRaceOptions {
  readonly request: AttemptRequest;
  /** Takes the answer of the attempt that wins. */
  readonly sink: AnswerSink;
  readonly onAnswerHead: (
    handle: UpstreamHandle,
    headers: IncomingHttpHeaders,
  ) => void;
  /** Called once for each attempt, before `result` resolves with it. */
  readonly onAttemptEnd: (ended: EndedAttempt) => void;
}

interface RacingAttempt {
  readonly handle: UpstreamHandle;
  readonly attempt: Attempt;
  readonly startedAtMs: number;
}

/** A race of one or two attempts of the same request. */
export class AttemptRace {
  /** Resolves with the winner once it has ended or, when none won, with the last attempt to end. */
  readonly result: Promise<EndedAttempt>;
  readonly #options: AttemptRaceOptions;
  readonly #inFlight = new Set<RacingAttempt>();
  readonly #decide: (ended: EndedAttempt) => void;
  #winner: RacingAttempt | undefined;
  #isDecided = false;

  constructor(options: AttemptRaceOptions) {
    this.#options = options;
    let decide: (ended: EndedAttempt) => void = () => {};
    this.result = new Promise(resolve => (decide = resolve));
    this.#decide = decide;
  }

  /** Whether an answer has begun or the result is known. */
  get isOver(): boolean {
    return this.#isDecided || this.#winner !== undefined;
  }

  /** Starts an attempt at the upstream of `handle`. */
  start(handle: UpstreamHandle, startedAtMs: number): void {
    const {request, onAnswerHead} = this.#options;
    const sink = new RacingSink(this.#options.sink, () =>
      this.#claimWin(candidate),
    );
    const attempt = new Attempt({
      dispatcher: handle.pool,
      request,
      sink,
      onAnswerHead: headers => onAnswerHead(handle, headers),
    });
    const candidate: RacingAttempt = {handle, attempt, startedAtMs};
    this.#inFlight.add(candidate);
    attempt.start();
    void attempt.result.then(result => this.#onEnd(candidate, result));
  }

  /** Gives up every attempt in flight. */
  giveUp(): void {
    for (const {attempt} of this.#inFlight) {
      attempt.giveUp();
    }
  }

  /** Called when the answer of `candidate` begins. Returns whether to relay it. */
  #claimWin(candidate: RacingAttempt): boolean {
    if (this.#winner !== undefined) {
      return this.#winner === candidate;
    }
    this.#winner = candidate;
    for (const other of this.#inFlight) {
      if (other !== candidate) {
        other.attempt.giveUp();
      }
    }
    return true;
  }

  #onEnd(candidate: RacingAttempt, result: AttemptResult): void {
    this.#inFlight.delete(candidate);
    const {handle, startedAtMs} = candidate;
    const hasLost = this.#winner !== undefined && this.#winner !== candidate;
    const ended: EndedAttempt = {handle, result, startedAtMs, hasLost};
    this.#options.onAttemptEnd(ended);
    const isDeciding = this.#winner === candidate || this.#inFlight.size === 0;
    if (isDeciding && !hasLost && !this.#isDecided) {
      this.#isDecided = true;
      this.#decide(ended);
    }
  }
}

/** Passes an answer on to the sink only if its attempt has won the race. */
class RacingSink extends AnswerSink {
  readonly #sink: AnswerSink;
  readonly #claimWin: () => boolean;
  #hasWon = false;

  constructor(sink: AnswerSink, claimWin: () => boolean) {
    super();
    this.#sink = sink;
    this.#claimWin = claimWin;
  }

  override get isCommitted(): boolean {
    return this.#hasWon && this.#sink.isCommitted;
  }

  override onHead(
    status: number,
    headers: IncomingHttpHeaders,
    flow: FlowControl,
  ): void {
    this.#hasWon = this.#claimWin();
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
