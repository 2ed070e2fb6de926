/** Creates a dispatch for each request. */

import {Dispatch} from './dispatch.js';
import type {
  DispatchJob,
  DispatchResult,
  DispatcherOptions,
} from './dispatch-job.js';
import {ProcessWatch} from '../upstreams/process-watch.js';
import {SuspectLock} from './suspect-lock.js';

/** Creates the dispatches of requests; they share the options, the lock for suspects and the watch of upstreams. */
export class RequestDispatcher {
  readonly #options: DispatcherOptions;
  readonly #suspectLock = new SuspectLock();
  readonly #processWatch: ProcessWatch;
  readonly #running = new Set<Dispatch>();

  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#processWatch = new ProcessWatch(options.clock);
  }

  /** Counts a request for the retry budget and creates its dispatch, for `run`. */
  dispatch(job: DispatchJob): Dispatch {
    this.#options.retryBudget.onRequest();
    return new Dispatch(
      job,
      this.#options,
      this.#suspectLock,
      this.#processWatch,
    );
  }

  /** Runs a dispatch until the request has a result; never rejects. */
  async run(dispatch: Dispatch): Promise<DispatchResult> {
    this.#running.add(dispatch);
    try {
      return await dispatch.run();
    } finally {
      this.#running.delete(dispatch);
    }
  }

  /** Ends all requests under way as at their deadlines; called when this process ends. */
  expire(): void {
    this.#running.forEach(dispatch => dispatch.expire());
  }
}
