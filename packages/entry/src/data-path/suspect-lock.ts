/** Lets only one suspect request of each service run at a time. */

/** Releases the lock. */
export type Release = () => void;

interface Waiter {
  readonly resolve: (release: Release | undefined) => void;
  readonly timer: NodeJS.Timeout;
}

/** Requests that may wait for the lock of one service. */
const MAXIMUM_WAITERS = 256;

/** One lock per service, granted in order of arrival. */
export class SuspectLock {
  readonly #queues = new Map<string, Set<Waiter>>();

  /** Waits for the lock. Returns undefined when `timeoutMs` passed or too many wait. */
  acquire(service: string, timeoutMs: number): Promise<Release | undefined> {
    const queue = this.#queues.get(service);
    if (queue === undefined) {
      this.#queues.set(service, new Set());
      return Promise.resolve(this.#createRelease(service));
    }
    if (queue.size >= MAXIMUM_WAITERS) {
      return Promise.resolve(undefined);
    }
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        queue.delete(waiter);
        resolve(undefined);
      }, timeoutMs);
      const waiter: Waiter = {resolve, timer};
      queue.add(waiter);
    });
  }

  #createRelease(service: string): Release {
    return () => {
      const queue = this.#queues.get(service);
      const [next] = queue ?? [];
      if (queue === undefined || next === undefined) {
        this.#queues.delete(service);
        return;
      }
      queue.delete(next);
      clearTimeout(next.timer);
      next.resolve(this.#createRelease(service));
    };
  }
}
