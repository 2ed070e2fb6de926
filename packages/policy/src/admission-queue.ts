/** A bounded queue of requests that wait for an upstream: by priority, then by arrival. */

/** A request that waits. */
export interface Waiting {
  /** Larger numbers go first. */
  readonly priority: number;
  /** When the request must have been answered, in milliseconds on the monotonic clock. */
  readonly deadlineMs: number;
}

/** What to do with a request that found no room. */
export type Admission<Item> =
  | {readonly kind: 'queued'}
  | {readonly kind: 'refused'}
  /** It took the place of one that matters less, which is refused in its stead. */
  | {readonly kind: 'replaced'; readonly refused: Item};

/** A bounded queue by priority. */
export class AdmissionQueue<Item extends Waiting> {
  #limit: number;
  readonly #lanes = new Map<number, Set<Item>>();
  #length = 0;

  /** @param limit Requests that may wait. */
  constructor(limit: number) {
    this.#limit = limit;
  }

  get length(): number {
    return this.#length;
  }

  /** Changes the limit; requests that wait already stay. */
  applyLimit(limit: number): void {
    this.#limit = limit;
  }

  /** Lets a request wait, if need be in place of the newest one of the lowest priority. */
  add(item: Item): Admission<Item> {
    if (this.#length < this.#limit) {
      this.#insert(item);
      return {kind: 'queued'};
    }
    const lowest = this.#lowestPriority();
    if (lowest === undefined || lowest >= item.priority) {
      return {kind: 'refused'};
    }
    const refused = [...(this.#lanes.get(lowest) ?? [])].at(-1);
    if (refused === undefined) {
      return {kind: 'refused'};
    }
    this.remove(refused);
    this.#insert(item);
    return {kind: 'replaced', refused};
  }

  /** Takes a request out that no longer waits. Returns false when it wasn't in. */
  remove(item: Item): boolean {
    const lane = this.#lanes.get(item.priority);
    if (lane === undefined || !lane.delete(item)) {
      return false;
    }
    this.#length -= 1;
    if (lane.size === 0) {
      this.#lanes.delete(item.priority);
    }
    return true;
  }

  /** The requests that wait, in the order in which they are to be served. */
  *[Symbol.iterator](): Iterator<Item> {
    const priorities = [...this.#lanes.keys()].sort((a, b) => b - a);
    for (const priority of priorities) {
      yield* this.#lanes.get(priority) ?? [];
    }
  }

  #insert(item: Item): void {
    const lane = this.#lanes.get(item.priority) ?? new Set<Item>();
    lane.add(item);
    this.#lanes.set(item.priority, lane);
    this.#length += 1;
  }

  #lowestPriority(): number | undefined {
    return this.#length === 0 ? undefined : Math.min(...this.#lanes.keys());
  }
}
