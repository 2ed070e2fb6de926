/** A bounded queue of requests that wait for an upstream, ordered by priority, then by arrival. */

/** A request in an `AdmissionQueue`. */
export interface QueuedRequest {
  /** Requests with larger numbers are served first. */
  readonly priority: number;
  /** Deadline of the answer, in milliseconds on the monotonic clock. */
  readonly deadlineMs: number;
}

/** Result of `AdmissionQueue.add`. */
export type AdmissionResult<Item> =
  | {readonly kind: 'queued'}
  | {readonly kind: 'refused'}
  /** The request took the place of one of lower priority, which must be refused instead. */
  | {readonly kind: 'replaced'; readonly refused: Item};

/** A bounded priority queue. */
export class AdmissionQueue<Item extends QueuedRequest> {
  #limit: number;
  readonly #queuesByPriority = new Map<number, Set<Item>>();
  #length = 0;

  /** @param limit Maximum number of waiting requests. */
  constructor(limit: number) {
    this.#limit = limit;
  }

  get length(): number {
    return this.#length;
  }

  /** Changes the limit; requests that already wait stay in the queue. */
  applyLimit(limit: number): void {
    this.#limit = limit;
  }

  /** Adds a request. If the queue is full, it replaces the newest one of the lowest priority, provided that this is lower. */
  add(item: Item): AdmissionResult<Item> {
    if (this.#length < this.#limit) {
      this.#insert(item);
      return {kind: 'queued'};
    }
    const lowest = this.#lowestPriority();
    if (lowest === undefined || lowest >= item.priority) {
      return {kind: 'refused'};
    }
    const refused = [...(this.#queuesByPriority.get(lowest) ?? [])].at(-1);
    if (refused === undefined) {
      return {kind: 'refused'};
    }
    this.remove(refused);
    this.#insert(item);
    return {kind: 'replaced', refused};
  }

  /** Removes a request that no longer waits. Returns false if it isn't in the queue. */
  remove(item: Item): boolean {
    const queue = this.#queuesByPriority.get(item.priority);
    if (queue === undefined || !queue.delete(item)) {
      return false;
    }
    this.#length -= 1;
    if (queue.size === 0) {
      this.#queuesByPriority.delete(item.priority);
    }
    return true;
  }

  /** Iterates over the waiting requests in the order in which they should be served. */
  *[Symbol.iterator](): Iterator<Item> {
    const priorities = [...this.#queuesByPriority.keys()].sort((a, b) => b - a);
    for (const priority of priorities) {
      yield* this.#queuesByPriority.get(priority) ?? [];
    }
  }

  #insert(item: Item): void {
    const queue = this.#queuesByPriority.get(item.priority) ?? new Set<Item>();
    queue.add(item);
    this.#queuesByPriority.set(item.priority, queue);
    this.#length += 1;
  }

  #lowestPriority(): number | undefined {
    return this.#length === 0
      ? undefined
      : Math.min(...this.#queuesByPriority.keys());
  }
}
