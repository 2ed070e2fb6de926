/** The naive parts themselves. */

import type {IncomingHttpHeaders} from 'node:http';
import {
  AnswerSink,
  BudgetSlot,
  DeparturePublisher,
  HomeTokenIssuer,
  RequestDispatcher,
  RevisionGuard,
  type Dispatch,
  type DispatchJob,
  type FlowControl,
  type HeldShare,
} from '@wasabidyke/entry';
import {CrashGuard} from '@wasabidyke/policy';

const RETRIES = 3;

/** Takes every entry for the home of every key. */
export class AnyHomeIssuer extends HomeTokenIssuer {
  override isOwn(): boolean {
    return true;
  }

  override isFromFuture(): boolean {
    return false;
  }
}

/** Sends every request again when its answer is lost, whatever its kind. */
export class RetryingDispatcher extends RequestDispatcher {
  override dispatch(job: DispatchJob): Dispatch {
    const rule = {...job.rule, kind: 'idempotent', retries: RETRIES} as const;
    return super.dispatch({...job, rule});
  }
}

/** Says of every request without an answer that it was not run. */
export class OptimisticDispatcher extends RequestDispatcher {
  override dispatch(job: DispatchJob): Dispatch {
    const dispatch = super.dispatch(job);
    const run = dispatch.run.bind(dispatch);
    dispatch.run = async () => {
      const result = await run();
      return result.kind === 'problem'
        ? {...result, problem: {...result.problem, outcome: 'not-run'}}
        : result;
    };
    return dispatch;
  }
}

/** Takes the end of a connection for the end of an answer. */
export class TrustingDispatcher extends RequestDispatcher {
  override dispatch(job: DispatchJob): Dispatch {
    const sink = new TrustingSink(job.sink);
    const dispatch = super.dispatch({...job, sink});
    const run = dispatch.run.bind(dispatch);
    dispatch.run = async () => {
      const result = await run();
      return sink.hasEnded ? {kind: 'answered'} : result;
    };
    return dispatch;
  }
}

class TrustingSink extends AnswerSink {
  readonly #sink: AnswerSink;
  #hasBegun = false;
  #hasEnded = false;

  constructor(sink: AnswerSink) {
    super();
    this.#sink = sink;
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  override get isCommitted(): boolean {
    return this.#hasBegun || this.#sink.isCommitted;
  }

  override onHead(
    status: number,
    headers: IncomingHttpHeaders,
    flow: FlowControl,
  ): void {
    const unmeasured = {...headers};
    delete unmeasured['content-length'];
    this.#hasBegun = true;
    this.#sink.onHead(status, unmeasured, flow);
  }

  override onData(chunk: Buffer): void {
    this.#sink.onData(chunk);
  }

  override onEnd(trailers: IncomingHttpHeaders): void {
    this.#hasEnded = true;
    this.#sink.onEnd(trailers);
  }

  override onBroken(): void {
    if (this.#hasBegun) {
      this.onEnd({});
    } else {
      this.#sink.onBroken();
    }
  }
}

/** Keeps to itself which upstreams leave. */
export class SilentDeparturePublisher extends DeparturePublisher {
  override publishDeparture(): void {}
}

/** Takes in every revision, older ones too. */
export class AnyRevisionGuard extends RevisionGuard {
  override accepts(): boolean {
    return true;
  }
}

/** Takes the whole budget for this entry's own. */
export class WholeBudgetSlot extends BudgetSlot {
  override heldShare(): HeldShare {
    return {term: 1, shares: 1};
  }

  override start(): void {}

  override onTick(): void {}

  override async stop(): Promise<void> {}
}

/** Takes no request for a suspect. */
export class BlindCrashGuard extends CrashGuard {
  override statusOf(): 'clear' {
    return 'clear';
  }
}
