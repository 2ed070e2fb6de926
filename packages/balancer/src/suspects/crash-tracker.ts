/** Tracks the upstreams that crash under one request. */

import {
  toCallerFingerprint,
  type CrashStatus,
  type RequestIdentity,
} from '@wasabidyke/policy';
import type {Attempt} from '../serving/attempt-recorder.js';
import {fingerprintOf, type RoutedRequest} from '../serving/routed-request.js';
import type {CrashMonitor} from './crash-monitor.js';
import type {UpstreamCheck} from './upstream-check.js';

/** Options of `CrashTracker`. */
export interface CrashTrackerOptions {
  readonly crashMonitor: CrashMonitor;
  readonly upstreamCheck: UpstreamCheck;
}

/** Crashes under one request, from its arrival to its end. */
export class CrashTracker {
  readonly #request: RoutedRequest;
  readonly #monitor: CrashMonitor;
  readonly #upstreamCheck: UpstreamCheck;
  /** Checks of whether upstreams whose connections broke have crashed. */
  readonly #checks: Array<Promise<boolean>> = [];
  #identity: RequestIdentity | undefined;

  constructor(request: RoutedRequest, options: CrashTrackerOptions) {
    this.#request = request;
    this.#monitor = options.crashMonitor;
    this.#upstreamCheck = options.upstreamCheck;
  }

  /** Whether the request is clear, a suspect or quarantined. Skips the hash while there are no suspects at all. */
  get status(): CrashStatus {
    return this.#monitor.hasSuspects
      ? this.#monitor.statusOf(this.#getIdentity())
      : 'clear';
  }

  /** Time until a quarantined request may be sent again, in milliseconds. */
  get remainingMs(): number {
    return this.#monitor.remainingMs(this.#getIdentity());
  }

  /**
   * Called when the connection of an attempt ended before an answer. Returns
   * whether the request may be retried: a suspect under which another upstream
   * crashed is left to its caller, since it may crash the next one too, or run
   * beside a request that does.
   */
  async onBreak(attempt: Attempt): Promise<boolean> {
    const earlierChecks = [...this.#checks];
    const isFirst = this.status === 'clear' && earlierChecks.length === 0;
    const check = this.#checkUpstream(attempt);
    this.#checks.push(check);
    if (isFirst) {
      return true;
    }
    await Promise.all(earlierChecks);
    const wasClear = this.status === 'clear';
    const hasCrashed = await check;
    return wasClear || !hasCrashed;
  }

  /** Called when the request has ended. Other entries are told of crashes only then: most innocent requests are answered by their next attempt. */
  async onEnd(isAnswered: boolean): Promise<void> {
    await Promise.all(this.#checks);
    if (isAnswered && this.#monitor.hasSuspects) {
      this.#monitor.onAnswer(this.#getIdentity());
    } else if (this.#checks.length > 0) {
      this.#monitor.onFailure(this.#getIdentity());
    }
  }

  /** Returns whether the upstream of an attempt crashed. */
  async #checkUpstream({selected, startedAtMs}: Attempt): Promise<boolean> {
    const {requestId, callerAddress} = this.#request;
    const {handle} = selected;
    const span = this.#monitor.spanSince(startedAtMs);
    if (!(await this.#upstreamCheck.hasCrashed(handle))) {
      return false;
    }
    const crash = {upstream: handle.record, span};
    const sender = {requestId, callerAddress};
    this.#monitor.onCrash(this.#getIdentity(), crash, sender);
    return true;
  }

  #getIdentity(): RequestIdentity {
    this.#identity ??= {
      fingerprint: fingerprintOf(this.#request),
      caller: toCallerFingerprint(this.#request.callerAddress),
    };
    return this.#identity;
  }
}
