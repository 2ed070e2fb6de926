/**
 * Estimates the round-trip time to a group of upstreams from how long they take
 * to answer load queries, which they do at once. Deployments differ several
 * times over in the length of their links, so no constant fits them all.
 */

/** Number of newest answers of which the median is taken. */
const SAMPLES = 15;

/** Answers below which the assumed round trip is kept: a single one may have waited behind other work of this process. */
const MINIMUM_SAMPLES = 5;

/** Round trip to the upstreams at one distance. */
export class RoundTripEstimate {
  readonly #assumedMs: number;
  readonly #samplesMs: number[] = [];
  #medianMs: number;

  /** @param assumedMs Round trip until answers have been seen, in milliseconds. */
  constructor(assumedMs: number) {
    this.#assumedMs = assumedMs;
    this.#medianMs = assumedMs;
  }

  /** The estimate, in milliseconds; never below the assumed one. */
  get roundTripMs(): number {
    return this.#medianMs;
  }

  /** Takes the time to an answer on a connection that was open before, in milliseconds. */
  onAnswer(durationMs: number): void {
    this.#samplesMs.push(durationMs);
    if (this.#samplesMs.length > SAMPLES) {
      this.#samplesMs.shift();
    }
    if (this.#samplesMs.length >= MINIMUM_SAMPLES) {
      const sorted = [...this.#samplesMs].sort((left, right) => left - right);
      const median = sorted[Math.floor(sorted.length / 2)];
      this.#medianMs = Math.max(this.#assumedMs, median);
    }
  }
}
