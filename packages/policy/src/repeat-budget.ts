/**
 * Limits how often requests are sent more than once. The limit holds for all
 * entries together: each spends only its own part, so none needs to ask.
 */

/** The limit for all entries together, and this entry's part of it. */
export interface RepeatBudgetOptions {
  /** Repeats per request. */
  readonly ratio: number;
  /** Repeats allowed in one window beside the ratio, over all entries. */
  readonly slack: number;
  readonly windowMs: number;
  /** Entries that may share the slack. */
  readonly entries: number;
}

/** Counts of one part of the window. */
interface Slice {
  readonly startMs: number;
  requests: number;
  repeats: number;
}

/** Parts of a window; one more is kept, so that no window that slides between two parts is over the limit. */
const SLICES_PER_WINDOW = 20;

/** Share of the ratio that is spent; the rest covers entries that count a window differently. */
const SPENT_SHARE = 0.85;

/** One entry's part of the budget, for one service. */
export class RepeatBudget {
  readonly #slices: Slice[] = [];
  #options: RepeatBudgetOptions;

  constructor(options: RepeatBudgetOptions) {
    this.#options = options;
  }

  /** Repeats per request that it allows. */
  get ratio(): number {
    return this.#options.ratio;
  }

  /** Takes over changed limits. */
  apply(options: RepeatBudgetOptions): void {
    this.#options = options;
  }

  /** A request arrived. */
  onRequest(nowMs: number): void {
    this.#slice(nowMs).requests += 1;
  }

  /**
   * Whether a repeat could be taken now.
   * @param keptShare Share of the part that is kept for other repeats, from 0 to 1.
   */
  has(nowMs: number, keptShare = 0): boolean {
    const {ratio, slack, entries, windowMs} = this.#options;
    const current = this.#slice(nowMs);
    const requestsFromMs = nowMs - windowMs;
    let requests = 0;
    let repeats = 0;
    for (const slice of this.#slices) {
      repeats += slice.repeats;
      if (slice.startMs >= requestsFromMs || slice === current) {
        requests += slice.requests;
      }
    }
    const allowed = ratio * SPENT_SHARE * requests + slack / entries;
    return repeats + 1 <= allowed * (1 - keptShare);
  }

  /** Takes a repeat, or returns false when the part is spent. */
  take(nowMs: number): boolean {
    if (!this.has(nowMs)) {
      return false;
    }
    this.#slice(nowMs).repeats += 1;
    return true;
  }

  #slice(nowMs: number): Slice {
    const sliceMs = this.#options.windowMs / SLICES_PER_WINDOW;
    const startMs = Math.floor(nowMs / sliceMs) * sliceMs;
    const last = this.#slices.at(-1);
    if (last !== undefined && last.startMs >= startMs) {
      return last;
    }
    const oldestMs = startMs - this.#options.windowMs;
    while (this.#slices.length > 0 && this.#slices[0].startMs < oldestMs) {
      this.#slices.shift();
    }
    const slice = {startMs, requests: 0, repeats: 0};
    this.#slices.push(slice);
    return slice;
  }
}
