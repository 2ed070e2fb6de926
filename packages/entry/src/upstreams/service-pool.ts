/** The upstreams of one service: finds room for a request, or lets it wait for room. */

import type {RequestRule, Service} from '@wasabidyke/manifest';
import {
  AdmissionQueue,
  HedgePlan,
  type LocalityFilter,
  type Selection,
  type UpstreamLoad,
  type Waiting,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {UpstreamHandle} from './upstream-handle.js';

/** Why no upstream was found. */
export type AcquireRefusal =
  'overloaded' | 'no-upstream' | 'deadline-exceeded' | 'cancelled';

/** The upstream to use, or why there is none. */
export type AcquireResult =
  | {
      readonly kind: 'acquired';
      readonly handle: UpstreamHandle;
      /** When the request was counted as under way there. */
      readonly startedAtMs: number;
    }
  | {readonly kind: 'refused'; readonly reason: AcquireRefusal};

/** A request that looks for an upstream. */
export interface AcquireRequest {
  readonly rule: RequestRule;
  readonly deadlineMs: number;
  /** Upstreams that were tried before. */
  readonly excluded: ReadonlySet<UpstreamHandle>;
}

/** Lets a request that waits be given up. */
export interface AcquireTicket {
  readonly result: Promise<AcquireResult>;
  cancel(): void;
}

/** What a pool is made of. */
export interface ServicePoolOptions {
  readonly service: Service;
  readonly selection: Selection;
  readonly locality: LocalityFilter;
  readonly clock: Clock;
}

/** Hedges for each request at most; they spend the retry budget besides. */
const HEDGE_SHARE = 0.1;

/** Weight of the newest interval between two ends of requests. */
const INTERVAL_WEIGHT = 0.05;

interface Waiter extends Waiting {
  readonly request: AcquireRequest;
  readonly timer: NodeJS.Timeout;
  readonly settle: (result: AcquireResult) => void;
}

/** The upstreams of one service. */
export class ServicePool {
  /** When requests to the service are hedged. */
  readonly hedgePlan = new HedgePlan(HEDGE_SHARE);
  readonly #clock: Clock;
  readonly #queue: AdmissionQueue<Waiter>;
  readonly #handlesByLoad = new Map<UpstreamLoad, UpstreamHandle>();
  readonly #locality: LocalityFilter;
  #selection: Selection;
  #handles: readonly UpstreamHandle[] = [];
  #lastEndMs: number | undefined;
  #endIntervalMs = 0;
  #latencyMs = 0;

  constructor(options: ServicePoolOptions) {
    const {service, selection, locality, clock} = options;
    this.#clock = clock;
    this.#selection = selection;
    this.#locality = locality;
    this.#queue = new AdmissionQueue(service.queueLimit);
  }

  get handles(): readonly UpstreamHandle[] {
    return this.#handles;
  }

  /** Requests that wait for room. */
  get waiting(): number {
    return this.#queue.length;
  }

  /** Takes over a changed service and its upstreams. */
  apply(
    service: Service,
    selection: Selection | undefined,
    handles: readonly UpstreamHandle[],
  ): void {
    this.#queue.applyLimit(service.queueLimit);
    this.#selection = selection ?? this.#selection;
    this.#handles = handles;
    this.#handlesByLoad.clear();
    for (const handle of handles) {
      this.#handlesByLoad.set(handle.load, handle);
    }
    this.wake();
  }

  /** Finds an upstream with room now. */
  tryAcquire(request: AcquireRequest): UpstreamHandle | undefined {
    const mayLeaveRegion = request.rule.regions !== 'local-only';
    const candidates: UpstreamLoad[] = [];
    for (const handle of this.#handles) {
      const isInReach =
        mayLeaveRegion || handle.load.distance !== 'other-region';
      if (isInReach && handle.isEligible && !request.excluded.has(handle)) {
        candidates.push(handle.load);
      }
    }
    const nowMs = this.#clock.now();
    const near = this.#locality.filter(candidates, nowMs);
    const load = this.#selection.select(near, nowMs);
    return load === undefined ? undefined : this.#handlesByLoad.get(load);
  }

  /** Waits for an upstream with room. Refuses at once what cannot be served in time. */
  wait(request: AcquireRequest): AcquireTicket {
    const refusal = this.#refusalFor(request);
    if (refusal !== undefined) {
      const result = Promise.resolve(refused(refusal));
      return {result, cancel: () => {}};
    }
    return this.#enqueue(request);
  }

  /** A request to one of the upstreams has ended: there is room. */
  onEnd(durationMs: number): void {
    const nowMs = this.#clock.now();
    if (this.#lastEndMs !== undefined) {
      const intervalMs = nowMs - this.#lastEndMs;
      this.#endIntervalMs +=
        INTERVAL_WEIGHT * (intervalMs - this.#endIntervalMs);
    }
    this.#lastEndMs = nowMs;
    this.#latencyMs += INTERVAL_WEIGHT * (durationMs - this.#latencyMs);
    if (this.#queue.length > 0) {
      this.wake();
    }
  }

  /** Serves what waits, as far as there is room. */
  wake(): void {
    for (const waiter of this.#queue) {
      const handle = this.tryAcquire(waiter.request);
      if (handle === undefined) {
        this.#refuseWithoutUpstream(waiter);
        continue;
      }
      // The settled request starts in a later microtask: take its place now.
      const startedAtMs = this.#clock.now();
      this.#settle(waiter, {kind: 'acquired', handle, startedAtMs});
      handle.onStart(startedAtMs);
    }
  }

  #enqueue(request: AcquireRequest): AcquireTicket {
    let settle: (result: AcquireResult) => void = () => {};
    const result = new Promise<AcquireResult>(resolve => (settle = resolve));
    const leftMs = request.deadlineMs - this.#clock.now();
    const timer = setTimeout(
      () => this.#settle(waiter, refused('deadline-exceeded')),
      leftMs,
    );
    const waiter: Waiter = {
      priority: request.rule.priority,
      deadlineMs: request.deadlineMs,
      request,
      timer,
      settle,
    };
    const admission = this.#queue.add(waiter);
    if (admission.kind === 'refused') {
      this.#settle(waiter, refused('overloaded'));
    } else if (admission.kind === 'replaced') {
      this.#settle(admission.refused, refused('overloaded'));
    }
    const cancel = () => this.#settle(waiter, refused('cancelled'));
    return {result, cancel};
  }

  #refusalFor(request: AcquireRequest): AcquireRefusal | undefined {
    if (!this.#hasUsable(request)) {
      return 'no-upstream';
    }
    const leftMs = request.deadlineMs - this.#clock.now();
    if (leftMs <= 0) {
      return 'deadline-exceeded';
    }
    const waitMs = this.#queue.length * this.#endIntervalMs;
    const isTooLate =
      this.#queue.length > 0 && waitMs + this.#latencyMs > leftMs;
    return isTooLate ? 'overloaded' : undefined;
  }

  #hasUsable(request: AcquireRequest): boolean {
    return this.#handles.some(
      handle =>
        (handle.state === 'live' || handle.state === 'probation') &&
        !request.excluded.has(handle) &&
        (request.rule.regions === 'local-first' ||
          handle.load.distance !== 'other-region'),
    );
  }

  #refuseWithoutUpstream(waiter: Waiter): void {
    if (!this.#hasUsable(waiter.request)) {
      this.#settle(waiter, refused('no-upstream'));
    }
  }

  #settle(waiter: Waiter, result: AcquireResult): void {
    clearTimeout(waiter.timer);
    this.#queue.remove(waiter);
    waiter.settle(result);
  }
}

function refused(reason: AcquireRefusal): AcquireResult {
  return {kind: 'refused', reason};
}
