/**
 * Spreads the work on answers in many small chunks over turns of the event
 * loop, so that other requests are served between them.
 */

/** Chunks that all answers together may hand over in one turn: a few milliseconds of work. */
const CHUNKS_PER_TURN = 1_024;

/** Counts the chunks of all answers in this turn. */
export class AnswerPace {
  #chunks = 0;
  readonly #waiting: Array<() => void> = [];

  /** Counts a chunk. Returns whether its answer may go on in this turn. */
  take(): boolean {
    if (this.#chunks === 0) {
      setImmediate(() => this.#onTurn());
    }
    this.#chunks += 1;
    return this.#chunks <= CHUNKS_PER_TURN;
  }

  /** Has an answer go on in a later turn, one after the other. */
  wait(resume: () => void): void {
    this.#waiting.push(resume);
  }

  #onTurn(): void {
    this.#chunks = 0;
    const next = this.#waiting.shift();
    if (next !== undefined) {
      next();
    }
    if (this.#waiting.length > 0 && this.#chunks === 0) {
      setImmediate(() => this.#onTurn());
    }
  }
}
