/** Bounds the memory of what is being received, over all senders. */

/** Counts the bytes that are held. */
export class MemoryBudget {
  readonly #capacityBytes: number;
  #takenBytes = 0;

  constructor(capacityBytes: number) {
    this.#capacityBytes = capacityBytes;
  }

  /** Takes memory. Returns false if there is not enough left. */
  take(bytes: number): boolean {
    if (this.#takenBytes + bytes > this.#capacityBytes) {
      return false;
    }
    this.#takenBytes += bytes;
    return true;
  }

  /** Returns memory. */
  release(bytes: number): void {
    this.#takenBytes -= bytes;
  }
}
