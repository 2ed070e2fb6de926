/**
 * The ledger of requests that must run at most once. The entry that is their
 * home keeps it in memory, removes a key only after the key's token has
 * expired, and refuses new keys when the ledger is full.
 */

import {Chart, LifeCycle} from '@wasabidyke/shared';
import type {RecordedAnswer} from '../data-path/answer-sink.js';
import type {Problem} from '../data-path/problem.js';
import type {HomeKey, HomeTokenIssuer} from '../at-most-once/home-token.js';

/** States of a run. */
export type RunState = 'running' | 'done' | 'unknown' | 'not-run';

/** Events of a run. */
export type RunTrigger = 'ANSWER' | 'LOSE' | 'REFUSE' | 'RESEND';

/** How a run ended; resends are answered with it. */
export type RunResult =
  | {readonly kind: 'done'; readonly answer: RecordedAnswer | undefined}
  | {readonly kind: 'unknown'; readonly problem: Problem}
  | {readonly kind: 'not-run'; readonly problem: Problem};

/** The run of one request that must run at most once. */
export class Run {
  readonly key: string;
  /** Digest of the request; the same key with another digest is refused. */
  readonly fingerprint: string;
  /** Issue number of the key's token; 0 for a run from another entry's ledger. */
  readonly issue: number;
  readonly #lifeCycle = new LifeCycle<RunState, RunTrigger>(RUN_CHART);
  readonly #listeners = new Set<(result: RunResult) => void>();
  #result: RunResult | undefined;

  /** @param issue Issue number of the key's token. */
  constructor(key: string, issue: number, fingerprint: string) {
    this.key = key;
    this.issue = issue;
    this.fingerprint = fingerprint;
  }

  get state(): RunState {
    return this.#lifeCycle.state;
  }

  /** How the run ended; undefined while it is in flight. */
  get result(): RunResult | undefined {
    return this.#result;
  }

  /** Size of the recorded answer's body in bytes; 0 without one. */
  get bytes(): number {
    const result = this.#result;
    return result?.kind === 'done' ? (result.answer?.body.length ?? 0) : 0;
  }

  /** Calls `listener` once when the run ends. Returns a function that removes the listener. */
  onEnd(listener: (result: RunResult) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Sets the result and notifies the listeners. Does nothing when the run has ended before. */
  finish(result: RunResult): void {
    if (!this.#lifeCycle.trigger(TRIGGER_BY_RESULT[result.kind])) {
      return;
    }
    this.#result = result;
    for (const listener of this.#listeners) {
      listener(result);
    }
    this.#listeners.clear();
  }

  /** Returns to `running` from `not-run`; returns false in any other state. */
  restart(): boolean {
    if (!this.#lifeCycle.trigger('RESEND')) {
      return false;
    }
    this.#result = undefined;
    return true;
  }
}

const RUN_CHART = Chart.load<RunState, RunTrigger>(
  new URL('../../charts/run.chart.json', import.meta.url),
);

const TRIGGER_BY_RESULT = {
  done: 'ANSWER',
  unknown: 'LOSE',
  'not-run': 'REFUSE',
} as const satisfies Record<RunResult['kind'], RunTrigger>;

/** How the ledger admits a request that arrived at its home. */
export type LedgerAdmission =
  /** The key is new or has certainly not run: run the request. */
  | {readonly kind: 'run'; readonly run: Run}
  /** The request is in flight or has ended: answer with the result of its run. */
  | {readonly kind: 'known'; readonly run: Run}
  /** The key belongs to a request with another fingerprint. */
  | {readonly kind: 'other-request'}
  | {readonly kind: 'full'};

/** Limits of a ledger. */
export interface LedgerLimits {
  readonly maximumRuns: number;
  /** Bytes of answers kept for resends; new keys are refused once they are reached. */
  readonly maximumBytes: number;
}

/** Admits new idempotency keys and keeps the runs of known ones. */
export abstract class Ledger {
  /** Admits a request whose token was issued by this process and has not expired. */
  abstract admit(key: HomeKey, fingerprint: string): LedgerAdmission;

  /** Whether the ledger has a run of the key. */
  abstract has(key: HomeKey): boolean;

  /** Ends a run and keeps its result for resends. */
  abstract finish(run: Run, result: RunResult): void;

  /** All runs that have not been removed. */
  abstract runs(): readonly Run[];

  /** Number of runs in flight. */
  abstract get running(): number;

  /** Removes expired runs. */
  abstract removeExpired(): void;
}

/** The ledger of this process, in memory. */
export class RunLedger extends Ledger {
  readonly #issuer: HomeTokenIssuer;
  readonly #limits: LedgerLimits;
  readonly #runs = new Map<string, Run>();
  #bytes = 0;
  #running = 0;

  constructor(issuer: HomeTokenIssuer, limits: LedgerLimits) {
    super();
    this.#issuer = issuer;
    this.#limits = limits;
  }

  override get running(): number {
    return this.#running;
  }

  override admit(key: HomeKey, fingerprint: string): LedgerAdmission {
    const known = this.#runs.get(key.key);
    if (known !== undefined) {
      return this.#admitKnown(known, fingerprint);
    }
    const isFull =
      this.#runs.size >= this.#limits.maximumRuns ||
      this.#bytes >= this.#limits.maximumBytes;
    if (isFull) {
      return {kind: 'full'};
    }
    const run = new Run(key.key, key.home.issue, fingerprint);
    this.#runs.set(key.key, run);
    this.#running += 1;
    return {kind: 'run', run};
  }

  override has(key: HomeKey): boolean {
    return this.#runs.has(key.key);
  }

  override finish(run: Run, result: RunResult): void {
    run.finish(result);
    this.#running -= 1;
    this.#bytes += run.bytes;
  }

  override runs(): readonly Run[] {
    return [...this.#runs.values()];
  }

  /** Runs are roughly in the order of their issue numbers, so the first that has not expired ends the search. */
  override removeExpired(): void {
    for (const [key, run] of this.#runs) {
      if (!this.#issuer.isExpired(run.issue)) {
        return;
      }
      if (run.state !== 'running') {
        this.#runs.delete(key);
        this.#bytes -= run.bytes;
      }
    }
  }

  #admitKnown(run: Run, fingerprint: string): LedgerAdmission {
    if (run.fingerprint !== fingerprint) {
      return {kind: 'other-request'};
    }
    if (run.restart()) {
      this.#running += 1;
      return {kind: 'run', run};
    }
    return {kind: 'known', run};
  }
}
