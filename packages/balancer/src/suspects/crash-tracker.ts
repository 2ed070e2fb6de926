/** Tracks the upstreams that crash under one request. */

import type {CrashStatus} from '@wasabidyke/policy';
import type {UpstreamHandle} from '../members/upstream-handle.js';
import {fingerprintOf, type RoutedRequest} from '../serving/routed-request.js';
import type {CrashMonitor} from './crash-monitor.js';

/** Crashes under one request, from its arrival to its end. */
export class CrashTracker {
  readonly #request: RoutedRequest;
  readonly #monitor: CrashMonitor;
  /** Checks of whether upstreams whose connections broke have crashed. */
  readonly #checks: Array<Promise<void>> = [];
  #fingerprint: string | undefined;

  constructor(request: RoutedRequest, monitor: CrashMonitor) {
    this.#request = request;
    this.#monitor = monitor;
  }

  /** Whether the request is clear, a suspect or quarantined. Skips the hash while there are no suspects at all. */
  get status(): CrashStatus {
    return this.#monitor.hasSuspects
      ? this.#monitor.statusOf(this.#getFingerprint())
      : 'clear';
  }

  /** Time until a quarantined request may be sent again, in milliseconds. */
  get remainingMs(): number {
    return this.#monitor.remainingMs(this.#getFingerprint());
  }

  /** Called when the connection to an upstream ended before it answered. Resolves once it is known whether the upstream crashed. */
  onBreak(handle: UpstreamHandle): Promise<void> {
    const check = this.#checkUpstream(handle);
    this.#checks.push(check);
    return check;
  }

  /** Called when the request has ended. Other entries are told of crashes only then: most innocent requests are answered by their next attempt. */
  async onEnd(isAnswered: boolean): Promise<void> {
    await Promise.all(this.#checks);
    if (isAnswered && this.#monitor.hasSuspects) {
      this.#monitor.onAnswer(this.#getFingerprint());
    } else if (this.#checks.length > 0) {
      this.#monitor.onFailure(this.#getFingerprint());
    }
  }

  async #checkUpstream(handle: UpstreamHandle): Promise<void> {
    const {loadPath, requestId} = this.#request;
    if (!(await handle.isAlive(loadPath))) {
      this.#monitor.onCrash(this.#getFingerprint(), handle.record, requestId);
    }
  }

  #getFingerprint(): string {
    this.#fingerprint ??= fingerprintOf(this.#request);
    return this.#fingerprint;
  }
}
