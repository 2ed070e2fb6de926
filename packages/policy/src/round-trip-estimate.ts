/**
 * Estimates the round-trip time to a group of upstreams from how long they take
 * to answer load queries, which they do at once. Deployments differ several
 * times over in the length of their links, so no constant fits them all.
 */

/** Number of newest answers that are considered: those of about a second at an entry with few requests. */
const SAMPLES = 15;

/** Answers below which the assumed round trip is kept: they may all have waited behind other work of this process. */
const MINIMUM_SAMPLES = 5;

/** Round trip to the upstreams at one distance. */
export class RoundTripEstimate {
  readonly #assumedMs: number;
  readonly #samplesMs: number[] = [];
  #roundTripMs: number;

  /** @param assumedMs Round trip until answers have been seen, in milliseconds. */
  constructor(assumedMs: number) {
    this.#assumedMs = assumedMs;
    this.#roundTripMs = assumedMs;
  }

  /** The estimate, in milliseconds; never below the assumed one. */
  get roundTripMs(): number {
    return this.#roundTripMs;
  }

  /**
   * Takes the time to an answer on a connection that was open before, in
   * milliseconds. The shortest of the newest ones counts: no answer is faster
   * than the link, and busy processes at both ends make many slower.
   */
  onAnswer(durationMs: number): void {
    this.#samplesMs.push(durationMs);
    if (this.#samplesMs.length > SAMPLES) {
      this.#samplesMs.shift();
    }
    if (this.#samplesMs.length >= MINIMUM_SAMPLES) {
      const shortestMs = Math.min(...this.#samplesMs);
      this.#roundTripMs = Math.max(this.#assumedMs, shortestMs);
    }
  }
}
