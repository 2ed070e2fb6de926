/** Numbers of requests that wait for a slot at one entry, by priority. */

/** Counts the requests of one service that wait. */
export class WaitingRequests {
  readonly #counts = new Map<number, number>();

  /** Counts one more until the returned function is called. */
  add(priority: number): () => void {
    this.#change(priority, 1);
    return () => this.#change(priority, -1);
  }

  /** Returns the number of those that are more urgent than `priority`. */
  countMoreUrgent(priority: number): number {
    let count = 0;
    for (const [other, waiting] of this.#counts) {
      count += other < priority ? waiting : 0;
    }
    return count;
  }

  #change(priority: number, change: number): void {
    const count = (this.#counts.get(priority) ?? 0) + change;
    if (count === 0) {
      this.#counts.delete(priority);
    } else {
      this.#counts.set(priority, count);
    }
  }
}
