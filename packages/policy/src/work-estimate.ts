/** Estimate of the duration of the work of one kind of request on an undisturbed upstream. */

/** Initial estimate, as a share of the target latency. */
const INITIAL_SHARE_OF_TARGET = 0.3;

/** Weight of the newest answer. */
const NEWEST_ANSWER_WEIGHT = 0.05;

/** Number of answers for which the newest one has a higher weight and no outlier limit. */
const INITIAL_ANSWERS = 1 / NEWEST_ANSWER_WEIGHT;

/** Limit of the work that one answer counts for, as a multiple of the estimate: outliers say little about the usual work. */
const OUTLIER_LIMIT = 3;

/** Time without an answer or a trial after which the next trial may be sent, in milliseconds: a service that is really so slow gets one request a second of each entry, and recovers for callers within two. */
const TRIAL_INTERVAL_MS = 1_000;

/** Moving average of the work of one kind of request. */
export class WorkEstimate {
  #workMs: number;
  #answers = 0;
  #answeredAtMs = -Infinity;
  /** When the trial was sent whose answer is expected; undefined if there is none. */
  #triedAtMs: number | undefined;

  constructor(targetLatencyMs: number) {
    this.#workMs = targetLatencyMs * INITIAL_SHARE_OF_TARGET;
  }

  /** Estimated duration on an undisturbed upstream with a free slot, in milliseconds. */
  get workMs(): number {
    return this.#workMs;
  }

  /** Whether a request may be sent that is expected to miss its deadline: an estimate that has every request refused gets no answer to correct it. */
  takeTrial(nowMs: number): boolean {
    const latestMs = Math.max(this.#answeredAtMs, this.#triedAtMs ?? -Infinity);
    if (nowMs - latestMs < TRIAL_INTERVAL_MS) {
      return false;
    }
    this.#triedAtMs = nowMs;
    return true;
  }

  /** Called when a request took `workMs` after known slowdowns were factored out. */
  onAnswer(workMs: number, nowMs: number): void {
    this.#answeredAtMs = nowMs;
    this.#answers += 1;
    if (this.#triedAtMs !== undefined) {
      this.#triedAtMs = undefined;
      this.#workMs = Math.min(this.#workMs, workMs);
      return;
    }
    const weight = Math.max(NEWEST_ANSWER_WEIGHT, 1 / (this.#answers + 1));
    const isInitial = this.#answers < INITIAL_ANSWERS;
    const limitMs = this.#workMs * OUTLIER_LIMIT;
    const observedMs = isInitial ? workMs : Math.min(workMs, limitMs);
    this.#workMs += weight * (observedMs - this.#workMs);
  }
}
