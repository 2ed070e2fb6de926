/** Tracks whether a request is suspected of ending the upstreams that run it. */

import {
  toFingerprint,
  type CrashStatus,
  type RequestIdentity,
} from '@wasabidyke/policy';
import {SECOND_MS} from '@wasabidyke/shared';
import type {
  ProcessWatch,
  WatchedRequest,
  WatchedSend,
} from '../upstreams/process-watch.js';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import type {AttemptResult} from './attempt.js';
import type {DispatchJob, DispatcherOptions} from './dispatch-job.js';

/** Answers with this status or a higher one are failures of the upstream, which may end after them. */
const FIRST_ERROR_STATUS = 500;

/** Looks up and updates the suspect record of one request, until nothing of it can be under way any more. */
export class SuspectTracker implements WatchedRequest {
  readonly #options: DispatcherOptions;
  readonly #watch: ProcessWatch;
  readonly #service: string;
  /** Undefined once the request has ended, so that its body isn't kept. */
  #job: DispatchJob | undefined;
  readonly #sends = new Map<UpstreamHandle, WatchedSend>();
  /** Checks of upstreams whose connections were lost, and notices to other entries. */
  readonly #pending = new Set<Promise<unknown>>();
  #fingerprint: string | undefined;

  constructor(
    job: DispatchJob,
    options: DispatcherOptions,
    watch: ProcessWatch,
  ) {
    this.#job = job;
    this.#service = job.service.name;
    this.#options = options;
    this.#watch = watch;
  }

  /** The current state of the request. Skips the hash while there are no suspects at all. */
  get state(): CrashStatus {
    const {crashGuard, clock} = this.#options;
    if (crashGuard.size === 0) {
      return 'clear';
    }
    return crashGuard.statusOf(this.#identity, clock.now());
  }

  /** Called when the request is sent to an upstream. */
  onSend(handle: UpstreamHandle): void {
    this.#sends.set(handle, this.#watch.onSend(handle, this));
  }

  /** Called when an attempt has ended. */
  onResult(handle: UpstreamHandle, result: AttemptResult): void {
    const send = this.#sends.get(handle);
    if (send === undefined) {
      return;
    }
    if (isFinal(result)) {
      this.#sends.delete(handle);
      this.#watch.settle(handle, send);
      return;
    }
    this.#watch.abandon(handle, send);
    if (result.kind === 'broken' && result.isConnectionLost) {
      this.#track(this.#watch.hasEnded(handle));
    }
  }

  /** Resolves once it is known whether upstreams have ended under the request, and other entries were told. */
  async settled(): Promise<void> {
    while (this.#pending.size > 0) {
      await Promise.all(this.#pending);
    }
  }

  /** Called when the request has a complete answer, which clears it of suspicion unless it is an error. */
  onAnswer(status: number): void {
    const {crashGuard, clock} = this.#options;
    if (status >= FIRST_ERROR_STATUS) {
      return;
    }
    for (const [handle, send] of this.#sends) {
      this.#watch.settle(handle, send);
    }
    this.#sends.clear();
    if (crashGuard.size > 0) {
      crashGuard.onAnswer(this.#identity, clock.now());
    }
  }

  /** Called when the request has ended. Upstreams may still end under it. */
  onEnd(): void {
    if (this.#sends.size > 0) {
      this.#fingerprint ??= this.#createFingerprint();
      for (const [handle, send] of this.#sends) {
        this.#watch.abandon(handle, send);
      }
      this.#sends.clear();
    }
    this.#job = undefined;
  }

  onUpstreamEnded(handle: UpstreamHandle, sentAtMs: number): void {
    const {crashGuard, suspectNotifier, clock} = this.#options;
    const toMs = clock.wallTime();
    const fromMs = toMs - (clock.now() - sentAtMs);
    const upstream = toEndName(handle, toMs);
    const crash = {upstream, span: {fromMs, toMs}};
    const record = crashGuard.onCrash(this.#identity, crash, clock.now());
    this.#track(suspectNotifier.notify(this.#service, record));
  }

  #track(pending: Promise<unknown>): void {
    this.#pending.add(pending);
    void pending.finally(() => this.#pending.delete(pending));
  }

  /** Callers are not told apart. */
  get #identity(): RequestIdentity {
    this.#fingerprint ??= this.#createFingerprint();
    return {fingerprint: this.#fingerprint};
  }

  /** @throws Error after the end of the request, which `onEnd` identifies before. */
  #createFingerprint(): string {
    if (this.#job === undefined) {
      throw new Error('a request that has ended was not identified');
    }
    return fingerprintOf(this.#job);
  }
}

/** Names one end of an upstream: the manifest tells its address, not its starts. Entries see an end within milliseconds. */
function toEndName({address}: UpstreamHandle, endedAtMs: number): string {
  return `${address}@${Math.round(endedAtMs / SECOND_MS)}`;
}

/** Whether the upstream has answered without an error, or has not taken the request. */
function isFinal(result: AttemptResult): boolean {
  switch (result.kind) {
    case 'answered':
      return result.status < FIRST_ERROR_STATUS;
    case 'shed':
    case 'not-sent':
      return true;
    case 'broken':
    case 'given-up':
      return false;
  }
}

/** Fingerprint by what a request does, so that repeats and equal requests share a record. */
function fingerprintOf(job: DispatchJob): string {
  const {method, path, headers, body} = job.request;
  return toFingerprint({
    scope: job.service.name,
    method,
    path,
    body: Buffer.isBuffer(body)
      ? body
      : String(headers['content-length'] ?? ''),
  });
}
