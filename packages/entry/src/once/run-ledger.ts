/**
 * The ledger of requests that must run at most once. It lives in the memory of
 * the entry that is their home, forgets a key only after the key's token has
 * lapsed, and refuses new keys when it is full.
 */

import {Chart, LifeCycle} from '@wasabidyke/shared';
import type {RecordedAnswer} from '../data-path/answer-sink.js';
import type {Problem} from '../data-path/problem.js';
import type {HomeKey, HomeTokenIssuer} from './home-token.js';

/** States of a run. */
export type RunState = 'running' | 'done' | 'unknown' | 'not-run';

/** Events of a run. */
export type RunTrigger = 'ANSWER' | 'LOSE' | 'REFUSE' | 'RESEND';

/** What a resend is told. */
export type RunEnd =
  | {readonly kind: 'done'; readonly answer: RecordedAnswer | undefined}
  | {readonly kind: 'unknown'; readonly problem: Problem}
  | {readonly kind: 'not-run'; readonly problem: Problem};

/** One request that must run at most once. */
export class Run {
  readonly key: string;
  /** Digest of the request: the same key with another one is refused. */
  readonly fingerprint: string;
  readonly issue: number;
  readonly #lifeCycle = new LifeCycle<RunState, RunTrigger>(RUN_CHART);
  readonly #listeners = new Set<(end: RunEnd) => void>();
  #end: RunEnd | undefined;

  /** @param issue Number of the issue of its key's token. */
  constructor(key: string, issue: number, fingerprint: string) {
    this.key = key;
    this.issue = issue;
    this.fingerprint = fingerprint;
  }

  get state(): RunState {
    return this.#lifeCycle.state;
  }

  /** How the run ended; undefined while it is under way. */
  get end(): RunEnd | undefined {
    return this.#end;
  }

  /** Bytes of the answer that is kept. */
  get bytes(): number {
    const end = this.#end;
    return end?.kind === 'done' ? (end.answer?.body.length ?? 0) : 0;
  }

  /** Calls `listener` once when the run ends. Returns a way to stop listening. */
  onEnd(listener: (end: RunEnd) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** The run has ended. */
  finish(end: RunEnd): void {
    if (!this.#lifeCycle.trigger(TRIGGER_BY_END[end.kind])) {
      return;
    }
    this.#end = end;
    for (const listener of this.#listeners) {
      listener(end);
    }
    this.#listeners.clear();
  }

  /** Runs again what was certainly not run. */
  restart(): boolean {
    if (!this.#lifeCycle.trigger('RESEND')) {
      return false;
    }
    this.#end = undefined;
    return true;
  }
}

const RUN_CHART = Chart.load<RunState, RunTrigger>(
  new URL('../../charts/run.chart.json', import.meta.url),
);

const TRIGGER_BY_END = {
  done: 'ANSWER',
  unknown: 'LOSE',
  'not-run': 'REFUSE',
} as const satisfies Record<RunEnd['kind'], RunTrigger>;

/** What to do with a request that arrived at its home. */
export type LedgerAdmission =
  /** It is new, or certainly was not run before: run it. */
  | {readonly kind: 'run'; readonly run: Run}
  /** It is known: tell what is known of it. */
  | {readonly kind: 'known'; readonly run: Run}
  | {readonly kind: 'other-request'}
  | {readonly kind: 'full'};

/** Limits of a ledger. */
export interface LedgerLimits {
  readonly maximumRuns: number;
  /** Bytes of answers kept for resends. */
  readonly maximumBytes: number;
}

/** Finds out what is known of a key and admits new ones. */
export abstract class Ledger {
  /** Admits a request whose token is this process's own and has not lapsed. */
  abstract admit(key: HomeKey, fingerprint: string): LedgerAdmission;

  /** Whether anything is known of a key. */
  abstract has(key: HomeKey): boolean;

  /** A run has ended: keeps its end for resends. */
  abstract finish(run: Run, end: RunEnd): void;

  /** All runs that have not lapsed. */
  abstract runs(): readonly Run[];

  /** Runs under way. */
  abstract get running(): number;

  /** Forgets what has lapsed. */
  abstract sweep(): void;
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

  override finish(run: Run, end: RunEnd): void {
    run.finish(end);
    this.#running -= 1;
    this.#bytes += run.bytes;
  }

  override runs(): readonly Run[] {
    return [...this.#runs.values()];
  }

  /** Runs stand in about the order of their issues, so the first that has not lapsed ends the search. */
  override sweep(): void {
    for (const [key, run] of this.#runs) {
      if (!this.#issuer.hasLapsed(run.issue)) {
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
