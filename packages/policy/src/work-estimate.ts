/** How long the work of one kind of request takes on an undisturbed upstream. */

/** Share of the target latency that is assumed before the first answer. */
const FIRST_GUESS_SHARE = 0.3;

/** Weight of the newest answer. */
const NEWEST_WEIGHT = 0.05;

/** Answers after which the newest one weighs no more than usual. */
const LEARNING_ANSWERS = 1 / NEWEST_WEIGHT;

/** Longest work that one answer may suggest, as a multiple of the estimate: stragglers say little of the work. */
const OUTLIER_LIMIT = 3;

/** A running estimate of the work of one kind of request. */
export class WorkEstimate {
  #workMs: number;
  #answers = 0;

  constructor(targetLatencyMs: number) {
    this.#workMs = targetLatencyMs * FIRST_GUESS_SHARE;
  }

  /** Milliseconds on an undisturbed upstream with a free slot. */
  get workMs(): number {
    return this.#workMs;
  }

  /** A request took `workMs`, with known disturbances taken out. */
  onAnswer(workMs: number): void {
    this.#answers += 1;
    const weight = Math.max(NEWEST_WEIGHT, 1 / (this.#answers + 1));
    const isLearning = this.#answers < LEARNING_ANSWERS;
    const limitMs = this.#workMs * OUTLIER_LIMIT;
    const observedMs = isLearning ? workMs : Math.min(workMs, limitMs);
    this.#workMs += weight * (observedMs - this.#workMs);
  }
}
