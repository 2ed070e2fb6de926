/** Lets one suspect request of a service run at a time. */

/** Gives the lock back. */
export type Release = () => void;

interface Turn {
  readonly take: (release: Release | undefined) => void;
  readonly timer: NodeJS.Timeout;
}

/** Requests that may wait for their turn, per service. */
const MAXIMUM_WAITING = 256;

/** One lock a service, served in order of arrival. */
export class TrialLock {
  readonly #queues = new Map<string, Set<Turn>>();

  /** Waits for the lock. Returns undefined when `timeoutMs` passed or too many wait. */
  acquire(service: string, timeoutMs: number): Promise<Release | undefined> {
    const queue = this.#queues.get(service);
    if (queue === undefined) {
      this.#queues.set(service, new Set());
      return Promise.resolve(this.#createRelease(service));
    }
    if (queue.size >= MAXIMUM_WAITING) {
      return Promise.resolve(undefined);
    }
    return new Promise(take => {
      const timer = setTimeout(() => {
        queue.delete(turn);
        take(undefined);
      }, timeoutMs);
      const turn: Turn = {take, timer};
      queue.add(turn);
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
      next.take(this.#createRelease(service));
    };
  }
}
