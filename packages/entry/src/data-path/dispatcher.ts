/** Creates a dispatch for each request. */

import {Dispatch} from './dispatch.js';
import type {DispatchJob, DispatcherOptions} from './dispatch-job.js';
import {SuspectLock} from './suspect-lock.js';

/** Creates the dispatches of requests; they share the options and the lock for suspects. */
export class RequestDispatcher {
  readonly #options: DispatcherOptions;
  readonly #suspectLock = new SuspectLock();

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** Counts a request for the retry budget and creates its dispatch, which `run()` starts. */
  dispatch(job: DispatchJob): Dispatch {
    this.#options.retryBudget.onRequest();
    return new Dispatch(job, this.#options, this.#suspectLock);
  }
}
