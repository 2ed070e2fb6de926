/** The stand-in's keys, leases and history of writes. Revisions count all writes, as etcd's do. */

/** One write, as the history keeps it. */
export interface Write {
  readonly revision: number;
  readonly key: string;
  /** Undefined for a deletion. */
  readonly value: string | undefined;
  readonly leaseId: string | undefined;
  /** Milliseconds since the Unix epoch. */
  readonly wallTime: number;
}

/** Called after each write. */
export type WriteListener = (write: Write) => void;

/** Writes that the history keeps; older ones are dropped. */
const MAXIMUM_HISTORY = 20_000;

/** Most leases that stand at a time. */
const MAXIMUM_LEASES = 10_000;

const MILLISECONDS_PER_SECOND = 1_000;

interface HeldLease {
  readonly timeToLiveSeconds: number;
  timer: NodeJS.Timeout;
}

/** Keys and leases in memory. Keys are what the wire carries: base64. */
export class KeySpace {
  readonly #present = new Map<string, Write>();
  readonly #history: Write[] = [];
  readonly #leases = new Map<string, HeldLease>();
  readonly #listeners = new Set<WriteListener>();
  #revision = 0;
  #leaseCount = 0;

  /** The revision of the newest write; 0 before the first. */
  get revision(): number {
    return this.#revision;
  }

  /** The writes that are kept, oldest first. */
  get history(): readonly Write[] {
    return this.#history;
  }

  /** The write that stands at a key, as of `revision` where it is given. */
  read(key: string, revision?: number): Write | undefined {
    if (revision === undefined) {
      return this.#present.get(key);
    }
    const last = this.#history.findLast(
      write => write.key === key && write.revision <= revision,
    );
    return last?.value === undefined ? undefined : last;
  }

  /** Writes or deletes a key. */
  write(key: string, value: string | undefined, leaseId?: string): Write {
    this.#revision += 1;
    const wallTime = Date.now();
    const write = {revision: this.#revision, key, value, leaseId, wallTime};
    if (value === undefined) {
      this.#present.delete(key);
    } else {
      this.#present.set(key, write);
    }
    this.#history.push(write);
    if (this.#history.length > MAXIMUM_HISTORY) {
      this.#history.shift();
    }
    for (const listener of [...this.#listeners]) {
      listener(write);
    }
    return write;
  }

  /** Grants a lease; undefined when there are too many. */
  grant(timeToLiveSeconds: number): string | undefined {
    if (this.#leases.size >= MAXIMUM_LEASES) {
      return undefined;
    }
    this.#leaseCount += 1;
    const id = String(this.#leaseCount);
    const timer = this.#startTimer(id, timeToLiveSeconds);
    this.#leases.set(id, {timeToLiveSeconds, timer});
    return id;
  }

  /** Renews a lease. Returns its time to live, or 0 when it lapsed. */
  renew(id: string): number {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return 0;
    }
    clearTimeout(lease.timer);
    lease.timer = this.#startTimer(id, lease.timeToLiveSeconds);
    return lease.timeToLiveSeconds;
  }

  /** Whether a lease stands. */
  hasLease(id: string): boolean {
    return this.#leases.has(id);
  }

  /** Ends a lease and deletes its keys. Returns whether it stood. */
  lapse(id: string): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return false;
    }
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    for (const {key, leaseId} of [...this.#present.values()]) {
      if (leaseId === id) {
        this.write(key, undefined);
      }
    }
    return true;
  }

  /** Ends every lease. */
  lapseAll(): void {
    for (const id of [...this.#leases.keys()]) {
      this.lapse(id);
    }
  }

  /** Calls `listener` after each write; the returned function ends that. */
  listen(listener: WriteListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Stops all timers. */
  close(): void {
    for (const {timer} of this.#leases.values()) {
      clearTimeout(timer);
    }
  }

  #startTimer(id: string, timeToLiveSeconds: number): NodeJS.Timeout {
    const timeToLiveMs = timeToLiveSeconds * MILLISECONDS_PER_SECOND;
    return setTimeout(() => this.lapse(id), timeToLiveMs);
  }
}
