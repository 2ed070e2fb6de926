/** Tracks whether a request is suspected of crashing the upstreams that run it. */

import {
  toFingerprint,
  type CrashStatus,
  type RequestIdentity,
} from '@wasabidyke/policy';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import type {DispatchJob, DispatcherOptions} from './dispatch-job.js';

/** Looks up and updates the suspect record of one request. */
export class SuspectTracker {
  readonly #job: DispatchJob;
  readonly #options: DispatcherOptions;
  #fingerprint: string | undefined;

  constructor(job: DispatchJob, options: DispatcherOptions) {
    this.#job = job;
    this.#options = options;
  }

  /** The current state of the request. Skips the hash while there are no suspects at all. */
  get state(): CrashStatus {
    const {crashGuard, clock} = this.#options;
    if (crashGuard.size === 0) {
      return 'clear';
    }
    return crashGuard.statusOf(this.#identity, clock.now());
  }

  /**
   * Called when the connection to an upstream was lost while it ran the
   * request. Resolves once other entries were notified.
   */
  async onConnectionLost(
    handle: UpstreamHandle,
    startedAtMs: number,
  ): Promise<void> {
    const {crashGuard, suspectNotifier, clock} = this.#options;
    const toMs = clock.wallTime();
    const fromMs = toMs - (clock.now() - startedAtMs);
    const crash = {upstream: handle.address, span: {fromMs, toMs}};
    const record = crashGuard.onCrash(this.#identity, crash, clock.now());
    await suspectNotifier.notify(this.#job.service.name, record);
  }

  /** Called when the request has a complete answer, which clears it of suspicion. */
  onAnswer(): void {
    const {crashGuard, clock} = this.#options;
    if (crashGuard.size > 0) {
      crashGuard.onAnswer(this.#identity, clock.now());
    }
  }

  /** Callers are not told apart. */
  get #identity(): RequestIdentity {
    this.#fingerprint ??= fingerprintOf(this.#job);
    return {fingerprint: this.#fingerprint};
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
