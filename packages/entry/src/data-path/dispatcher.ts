/** Starts requests to upstreams. */

import {Dispatch} from './dispatch.js';
import type {DispatchJob, DispatcherOptions} from './dispatch-job.js';
import {TrialLock} from './trial-lock.js';

/** Sends requests to upstreams. */
export class RequestDispatcher {
  readonly #options: DispatcherOptions;
  readonly #trialLock = new TrialLock();

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** Starts a request. */
  dispatch(job: DispatchJob): Dispatch {
    this.#options.retryBudget.onRequest();
    return new Dispatch(job, this.#options, this.#trialLock);
  }
}
