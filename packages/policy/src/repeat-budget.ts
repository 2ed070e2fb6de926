/**
 * Limits repeats, i.e. retries and hedges, over a sliding window. The limit
 * holds for all entries together: each spends only its own part, so they need no
 * coordination.
 */

/** Options of `RepeatBudget`. */
export interface RepeatBudgetOptions {
  /** Repeats per request. */
  readonly ratio: number;
  /** Repeats of all entries that are allowed in one window in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
  /** Number of entries among which the slack is divided. */
  readonly entries: number;
}

/** Counts of one time slice of the window. */
interface Slice {
  readonly startMs: number;
  requests: number;
  repeats: number;
}

/** Slices of a window; one more is kept, so that the limit also holds for a window that begins within a slice. */
const SLICES_PER_WINDOW = 20;

/** Share of the ratio that may be spent; the rest covers observers that delimit the windows differently. */
const USABLE_SHARE = 0.85;

/** One entry's part of the budget of one service. */
export class RepeatBudget {
  readonly #slices: Slice[] = [];
  #options: RepeatBudgetOptions;

  constructor(options: RepeatBudgetOptions) {
    this.#options = options;
  }

  /** Allowed repeats per request. */
  get ratio(): number {
    return this.#options.ratio;
  }

  /** Changes the limits. */
  apply(options: RepeatBudgetOptions): void {
    this.#options = options;
  }

  /** Called when a request arrives. */
  onRequest(nowMs: number): void {
    this.#currentSlice(nowMs).requests += 1;
  }

  /**
   * Whether a repeat is allowed now.
   * @param reservedShare Share of this entry's part that is reserved for other repeats, from 0 to 1.
   */
  has(nowMs: number, reservedShare = 0): boolean {
    const {ratio, slack, entries, windowMs} = this.#options;
    const current = this.#currentSlice(nowMs);
    const windowStartMs = nowMs - windowMs;
    let requests = 0;
    let repeats = 0;
    for (const slice of this.#slices) {
      repeats += slice.repeats;
      if (slice.startMs >= windowStartMs || slice === current) {
        requests += slice.requests;
      }
    }
    const allowed = ratio * USABLE_SHARE * requests + slack / entries;
    return repeats + 1 <= allowed * (1 - reservedShare);
  }

  /**
   * Takes one repeat from the budget. Returns false if this entry's part is spent.
   * @param reservedShare As of `has`.
   */
  take(nowMs: number, reservedShare = 0): boolean {
    if (!this.has(nowMs, reservedShare)) {
      return false;
    }
    this.#currentSlice(nowMs).repeats += 1;
    return true;
  }

  #currentSlice(nowMs: number): Slice {
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
