/** Tracks the upstreams that end under one request. */

import {
  toCallerFingerprint,
  type Crash,
  type CrashStatus,
  type RequestIdentity,
} from '@wasabidyke/policy';
import type {UpstreamHandle} from '../members/upstream-handle.js';
import type {UpstreamRecord} from '../members/upstream-record.js';
import {fingerprintOf, type RoutedRequest} from '../serving/routed-request.js';
import type {CrashMonitor, Sender} from './crash-monitor.js';
import type {
  ProcessWatch,
  WatchedRequest,
  WatchedSend,
} from './process-watch.js';

/** Options of `CrashTracker`. */
export interface CrashTrackerOptions {
  readonly crashMonitor: CrashMonitor;
  readonly processWatch: ProcessWatch;
}

/** Ends of upstreams under one request, from its arrival until nothing of it can be under way any more. */
export class CrashTracker implements WatchedRequest {
  readonly #monitor: CrashMonitor;
  readonly #watch: ProcessWatch;
  readonly #sender: Sender;
  /** Undefined once the request has ended, so that its body isn't kept. */
  #request: RoutedRequest | undefined;
  /** Sends under which upstreams may still end. */
  readonly #sends = new Map<WatchedSend, UpstreamHandle>();
  /** Checks of whether upstreams whose connections broke have ended. */
  readonly #checks: Array<Promise<boolean>> = [];
  #identity: RequestIdentity | undefined;
  #isAnswered = false;

  constructor(request: RoutedRequest, options: CrashTrackerOptions) {
    this.#request = request;
    this.#monitor = options.crashMonitor;
    this.#watch = options.processWatch;
    const {requestId, callerAddress} = request;
    this.#sender = {requestId, callerAddress};
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

  /** Called when the request is sent to an upstream. */
  onSend(handle: UpstreamHandle): WatchedSend {
    const send = this.#watch.onSend(handle, this);
    this.#sends.set(send, handle);
    return send;
  }

  /** Called when an upstream can't end under a send any more. */
  onSettled(send: WatchedSend): void {
    this.#sends.delete(send);
  }

  /**
   * Called when the connection of an attempt ended before a whole answer.
   * Returns whether the request may be retried: a suspect under which another
   * upstream crashed is left to its caller, since it may crash the next one
   * too, or run beside a request that does.
   */
  async onBreak(handle: UpstreamHandle): Promise<boolean> {
    const earlierChecks = [...this.#checks];
    const isFirst = this.status === 'clear' && earlierChecks.length === 0;
    const check = this.#watch.hasEnded(handle);
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
    this.#isAnswered = isAnswered;
    const sends = [...this.#sends];
    this.#sends.clear();
    if (isAnswered) {
      sends.forEach(([send, handle]) => this.#watch.settle(handle, send));
      await Promise.all(this.#checks);
      if (this.#monitor.hasSuspects) {
        this.#monitor.onAnswer(this.#getIdentity());
      }
    } else if (sends.length > 0) {
      const identity = this.#getIdentity();
      await Promise.all(this.#checks);
      this.#request = undefined;
      this.#monitor.onFailure(identity);
    }
  }

  onUpstreamEnded(upstream: UpstreamRecord, span: Crash['span']): void {
    if (this.#isAnswered) {
      return;
    }
    const identity = this.#getIdentity();
    this.#monitor.onCrash(identity, {upstream, span}, this.#sender);
    if (this.#request === undefined) {
      this.#monitor.onFailure(identity);
    }
  }

  #getIdentity(): RequestIdentity {
    this.#identity ??= this.#createIdentity();
    return this.#identity;
  }

  /** @throws Error after the end of the request, which `onEnd` identifies before. */
  #createIdentity(): RequestIdentity {
    if (this.#request === undefined) {
      throw new Error('a request that has ended was not identified');
    }
    return {
      fingerprint: fingerprintOf(this.#request),
      caller: toCallerFingerprint(this.#request.callerAddress),
    };
  }
}
