/** What is dispatched, how it ends, and what dispatching needs. */

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
  /** Calls through the system above this one. */
  readonly depth: number;
}

/** How a request ended. */
export type DispatchResult =
  /** The sink has the whole answer. */
  | {readonly kind: 'answered'}
  /** The caller is to be told this problem. */
  | {readonly kind: 'problem'; readonly problem: Problem}
  /** The answer broke off after a part of it was relayed, or the caller hung up. */
  | {readonly kind: 'broken-off'};

/** Tells other entries of suspects before a request goes on. */
export abstract class SuspectNotifier {
  /** Resolves once the others know, or a short time has passed. */
  abstract notify(service: string, record: SuspectRecord): Promise<void>;
}

/** Told that an upstream said by itself that it is leaving. */
export type LeavingSignalListener = (handle: UpstreamHandle) => void;

/** What the dispatcher needs. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly registry: UpstreamRegistry;
  readonly retryBudget: RetryBudget;
  readonly crashGuard: CrashGuard;
  readonly suspectNotifier: SuspectNotifier;
  readonly onLeavingSignal: LeavingSignalListener;
}
