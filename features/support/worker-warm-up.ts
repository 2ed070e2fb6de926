/** The warm-up of a scripted worker, as its answers to load queries name it. */

/** A warm-up that may begin again at any moment. */
export class WorkerWarmUp {
  /** Whether answers name it. */
  isNamed = false;
  #endsAtMs = -Infinity;

  /** Begins a warm-up. */
  begin(forMs: number): void {
    this.#endsAtMs = performance.now() + forMs;
  }

  /** Remaining time, in milliseconds. */
  get leftMs(): number {
    return Math.max(0, Math.round(this.#endsAtMs - performance.now()));
  }

  /** Header of an answer to a load query, with the line break before it. */
  get field(): string {
    return this.isNamed
      ? `\r\nWasabidyke-Warmup-Remaining-Ms: ${this.leftMs}`
      : '';
  }
}
