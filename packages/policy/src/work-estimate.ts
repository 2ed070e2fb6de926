/** Estimate of the duration of the work of one kind of request on an undisturbed upstream. */

/** Initial estimate, as a share of the target latency. */
const INITIAL_SHARE_OF_TARGET = 0.3;

/** Weight of the newest answer. */
const NEWEST_ANSWER_WEIGHT = 0.05;

/** Number of answers for which the newest one has a higher weight and no outlier limit. */
const INITIAL_ANSWERS = 1 / NEWEST_ANSWER_WEIGHT;

/** Limit of the work that one answer counts for, as a multiple of the estimate: outliers say little about the usual work. */
const OUTLIER_LIMIT = 3;

/** Moving average of the work of one kind of request. */
export class WorkEstimate {
  #workMs: number;
  #answers = 0;

  constructor(targetLatencyMs: number) {
    this.#workMs = targetLatencyMs * INITIAL_SHARE_OF_TARGET;
  }

  /** Estimated duration on an undisturbed upstream with a free slot, in milliseconds. */
  get workMs(): number {
    return this.#workMs;
  }

  /** Called when a request took `workMs` after known slowdowns were factored out. */
  onAnswer(workMs: number): void {
    this.#answers += 1;
    const weight = Math.max(NEWEST_ANSWER_WEIGHT, 1 / (this.#answers + 1));
    const isInitial = this.#answers < INITIAL_ANSWERS;
    const limitMs = this.#workMs * OUTLIER_LIMIT;
    const observedMs = isInitial ? workMs : Math.min(workMs, limitMs);
    this.#workMs += weight * (observedMs - this.#workMs);
  }
}
