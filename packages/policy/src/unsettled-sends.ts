/**
 * Requests that were sent to one upstream and that it neither answered nor
 * refused. If its process ends, each of them may have ended it, however far an
 * answer had come and whoever still waits for it.
 */

/** One send of a request. */
export interface UnsettledSend<Request> {
  readonly request: Request;
  /** On the monotonic clock, in milliseconds. */
  readonly sentAtMs: number;
}

/**
 * Times after a send was given up, or its connection broke, at which the
 * upstream must be seen to run, in milliseconds. The first ones find an end
 * early: entries must know of it before the request comes again.
 */
const SIGHT_DELAYS_MS = [150, 600, 2_000];

/** Time after which a send that was given up has nothing more to do with its upstream, in milliseconds. */
const DOUBT_MS = Math.max(...SIGHT_DELAYS_MS);

/** Maximum number of sends to one upstream that were given up; the oldest is dropped first. An upstream runs a few requests at a time, shared by all entries. */
const MAXIMUM_ABANDONED = 32;

/** Sends to one upstream whose outcome is open. */
export class UnsettledSends<Request> {
  readonly #pending = new Set<UnsettledSend<Request>>();
  /** Sends that were given up or whose connections broke, and when; oldest first. */
  readonly #abandoned = new Map<UnsettledSend<Request>, number>();
  #seenAtMs = -Infinity;

  /** Whether there are none. */
  get isEmpty(): boolean {
    return this.#pending.size === 0 && this.#abandoned.size === 0;
  }

  get abandonedCount(): number {
    return this.#abandoned.size;
  }

  /** Called when a request is sent. */
  add(request: Request, nowMs: number): UnsettledSend<Request> {
    const send = {request, sentAtMs: nowMs};
    this.#pending.add(send);
    return send;
  }

  /** Called when the upstream can't end under a send any more, since it has answered or not taken it. */
  settle(send: UnsettledSend<Request>): void {
    this.#pending.delete(send);
    this.#abandoned.delete(send);
  }

  /** Called when a send was given up, or its connection broke: the upstream may still run it. */
  abandon(send: UnsettledSend<Request>, nowMs: number): void {
    if (!this.#pending.delete(send)) {
      return;
    }
    this.#abandoned.set(send, nowMs);
    if (this.#abandoned.size > MAXIMUM_ABANDONED) {
      const [oldest] = this.#abandoned.keys();
      this.#abandoned.delete(oldest);
    }
  }

  /** Called when the upstream was seen to run at a time; clears the sends that were given up long before. */
  onSeen(atMs: number): void {
    this.#seenAtMs = Math.max(this.#seenAtMs, atMs);
    for (const [send, leftAtMs] of this.#abandoned) {
      if (leftAtMs + DOUBT_MS <= this.#seenAtMs) {
        this.#abandoned.delete(send);
      }
    }
  }

  /** When the upstream must be seen to run next; undefined if no send was given up. */
  get nextSightAtMs(): number | undefined {
    let nextAtMs: number | undefined;
    for (const leftAtMs of this.#abandoned.values()) {
      for (const delayMs of SIGHT_DELAYS_MS) {
        const atMs = leftAtMs + delayMs;
        if (atMs > this.#seenAtMs && atMs < (nextAtMs ?? Infinity)) {
          nextAtMs = atMs;
        }
      }
    }
    return nextAtMs;
  }

  /** All sends. */
  list(): readonly UnsettledSend<Request>[] {
    return [...this.#pending, ...this.#abandoned.keys()];
  }

  /** Removes and returns the sends that were given up. */
  takeAbandoned(): readonly UnsettledSend<Request>[] {
    const sends = [...this.#abandoned.keys()];
    this.#abandoned.clear();
    return sends;
  }

  /** Removes and returns the sends up to a time. */
  takeSentUntil(atMs: number): readonly UnsettledSend<Request>[] {
    const sends = this.list().filter(({sentAtMs}) => sentAtMs <= atMs);
    sends.forEach(send => this.settle(send));
    return sends;
  }
}
