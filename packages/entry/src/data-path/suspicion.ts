/** Whether one request is suspected of breaking the upstreams that run it. */

import {createHash} from 'node:crypto';
import type {CrashStanding} from '@wasabidyke/policy';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import type {DispatchJob, DispatcherOptions} from './dispatch-job.js';

/** The suspicion of one request. */
export class Suspicion {
  readonly #job: DispatchJob;
  readonly #options: DispatcherOptions;
  #fingerprint: string | undefined;

  constructor(job: DispatchJob, options: DispatcherOptions) {
    this.#job = job;
    this.#options = options;
  }

  /** How the request stands now. Costs nothing while there are no suspects at all. */
  get standing(): CrashStanding {
    const {crashGuard, clock} = this.#options;
    if (crashGuard.size === 0) {
      return 'clear';
    }
    return crashGuard.standing(this.#toFingerprint(), clock.now());
  }

  /** An upstream broke while it ran the request; resolves once other entries were told. */
  async onBreak(handle: UpstreamHandle): Promise<void> {
    const {crashGuard, suspectNotifier, clock} = this.#options;
    const fingerprint = this.#toFingerprint();
    const nowMs = clock.now();
    const record = crashGuard.onBreak(fingerprint, handle.address, nowMs);
    await suspectNotifier.notify(this.#job.service.name, record);
  }

  /** The request was answered whole. */
  onAnswer(): void {
    if (this.#options.crashGuard.size > 0) {
      this.#options.crashGuard.onAnswer(this.#toFingerprint());
    }
  }

  #toFingerprint(): string {
    this.#fingerprint ??= toFingerprint(this.#job);
    return this.#fingerprint;
  }
}

/** Identifies requests that do the same. */
function toFingerprint(job: DispatchJob): string {
  const {method, path, headers, body} = job.request;
  const hash = createHash('sha256');
  hash.update(`${job.service.name}\n${method}\n${path}\n`);
  if (Buffer.isBuffer(body)) {
    hash.update(body);
  } else {
    hash.update(String(headers['content-length'] ?? ''));
  }
  return hash.digest('base64url');
}
