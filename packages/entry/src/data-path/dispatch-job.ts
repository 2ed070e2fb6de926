/** Jobs and results of dispatching, and the options of the dispatcher. */

import type {RequestRule, Service} from '@wasabidyke/manifest';
import type {CrashGuard, RetryBudget, SuspectRecord} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {AnswerSink} from './answer-sink.js';
import type {AttemptRequest} from './attempt.js';
import type {Problem} from './problem.js';

/** A request to be answered by an upstream. */
export interface DispatchJob {
  readonly service: Service;
  readonly rule: RequestRule;
  readonly request: AttemptRequest;
  readonly sink: AnswerSink;
  /** On the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** How many calls through the system lie above this one. */
  readonly depth: number;
}

/** How a request ended. */
export type DispatchResult =
  /** The sink has the complete answer. */
  | {readonly kind: 'answered'}
  /** No answer; the problem is to be sent to the caller. */
  | {readonly kind: 'problem'; readonly problem: Problem}
  /** The answer broke off after a part of it was relayed, or the caller hung up. */
  | {readonly kind: 'broken-off'};

/** Notifies other entries of requests suspected of crashing upstreams. */
export abstract class SuspectNotifier {
  /** Resolves once the other entries have acknowledged, or after a short time. */
  abstract notify(service: string, record: SuspectRecord): Promise<void>;
}

/** Called when an answer of an upstream announces that it is leaving. */
export type LeavingSignalListener = (handle: UpstreamHandle) => void;

/** Options of `RequestDispatcher`. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly registry: UpstreamRegistry;
  readonly retryBudget: RetryBudget;
  readonly crashGuard: CrashGuard;
  readonly suspectNotifier: SuspectNotifier;
  readonly onLeavingSignal: LeavingSignalListener;
}
