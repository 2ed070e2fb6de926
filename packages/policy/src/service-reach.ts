/**
 * Whether one entry reaches the upstreams of a service. An upstream that an
 * entry doesn't hear from may be gone, or its links may be; if several fall
 * silent and none is heard from, the entry doubts its own links rather than all
 * upstreams. Others may reach them all the while.
 */

/** Options of `ServiceReach`. */
export interface ServiceReachOptions {
  /** Number of upstreams of the service. */
  readonly upstreams: () => number;
  /** Called when the entry begins or ceases to doubt that it reaches the service. */
  readonly onChange: (isDoubtful: boolean) => void;
}

/** Upstreams that fall silent, without any being heard from, until an entry doubts its links: one or two of them fail alone often. */
const DOUBTFUL_UPSTREAMS = 3;

/** Age above which failures of queries prove nothing, in milliseconds: longer than the longest pause between queries, so that each request after it tries anew. */
const PROOF_LIFETIME_MS = 3_000;

/** Time between requests that are sent although no upstream is reached, in milliseconds: upstreams may leave queries unanswered and serve requests. */
const TRIAL_INTERVAL_MS = 2_000;

/** What one entry knows of its links to the upstreams of one service. */
export class ServiceReach {
  readonly #options: ServiceReachOptions;
  /** Upstreams that fell silent since one was heard from. */
  readonly #silent = new Set<object>();
  #failedAtMs = -Infinity;
  #triedAtMs = -Infinity;
  #isDoubtful = false;

  constructor(options: ServiceReachOptions) {
    this.#options = options;
  }

  /** Called when any upstream has answered. */
  onHeard(): void {
    if (this.#silent.size > 0) {
      this.#silent.clear();
      this.#failedAtMs = -Infinity;
      this.#update();
    }
  }

  /** Called when an upstream leaves a query unanswered for longer than usual. */
  onSilent(upstream: object): void {
    this.#silent.add(upstream);
    this.#update();
  }

  /** Called when an upstream can't be connected to, or a query has failed. */
  onFailed(upstream: object, nowMs: number): void {
    this.#failedAtMs = nowMs;
    this.onSilent(upstream);
  }

  /** Whether another entry may reach upstreams that this one doesn't. */
  get isDoubtful(): boolean {
    return this.#isDoubtful;
  }

  /** Whether a request that is sent now is known to reach no upstream. */
  isLost(nowMs: number): boolean {
    return this.#isDoubtful && nowMs - this.#failedAtMs < PROOF_LIFETIME_MS;
  }

  /** Takes the right to send one request although no upstream is reached. */
  takeTrial(nowMs: number): boolean {
    if (nowMs - this.#triedAtMs < TRIAL_INTERVAL_MS) {
      return false;
    }
    this.#triedAtMs = nowMs;
    return true;
  }

  #update(): void {
    const {upstreams, onChange} = this.#options;
    const limit = Math.max(1, Math.min(DOUBTFUL_UPSTREAMS, upstreams()));
    const isDoubtful = this.#silent.size >= limit;
    if (isDoubtful !== this.#isDoubtful) {
      this.#isDoubtful = isDoubtful;
      onChange(isDoubtful);
    }
  }
}
