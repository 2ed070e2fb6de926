/** The upstreams of one service: selects one with free capacity for a request, or queues the request until there is one. */

import type {RequestRule, Service} from '@wasabidyke/manifest';
import {
  AdmissionQueue,
  HedgePlan,
  type LocalityFilter,
  type Selection,
  type UpstreamLoad,
  type QueuedRequest,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {UpstreamHandle} from './upstream-handle.js';

/** Reasons why a request got no upstream. */
export type AcquireRefusal =
  'overloaded' | 'no-upstream' | 'deadline-exceeded' | 'cancelled';

/** The upstream to use, or the reason for the refusal. */
export type AcquireResult =
  | {
      readonly kind: 'acquired';
      readonly handle: UpstreamHandle;
      /** When the request was counted as in flight at the upstream, in milliseconds on the monotonic clock. */
      readonly startedAtMs: number;
    }
  | {readonly kind: 'refused'; readonly reason: AcquireRefusal};

/** A request that needs an upstream. */
export interface AcquireRequest {
  readonly rule: RequestRule;
  /** On the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Upstreams that must not be selected, such as those tried before. */
  readonly excluded: ReadonlySet<UpstreamHandle>;
}

/** The pending result of a queued request, which can be cancelled. */
export interface PendingAcquire {
  readonly result: Promise<AcquireResult>;
  cancel(): void;
}

/** Options of `ServicePool`. */
export interface ServicePoolOptions {
  readonly service: Service;
  readonly selection: Selection;
  readonly locality: LocalityFilter;
  readonly clock: Clock;
}

/** Maximum share of requests that are hedged. Hedges are also charged to the retry budget. */
const HEDGE_SHARE = 0.1;

/** Weight of the newest sample in the moving averages of request duration and of the interval between request ends. */
const SAMPLE_WEIGHT = 0.05;

interface Waiter extends QueuedRequest {
  readonly request: AcquireRequest;
  readonly timer: NodeJS.Timeout;
  readonly settle: (result: AcquireResult) => void;
}

/** Selects upstreams of one service and queues requests while none has free capacity. */
export class ServicePool {
  /** Decides when requests to the service are hedged. */
  readonly hedgePlan = new HedgePlan(HEDGE_SHARE);
  readonly #clock: Clock;
  readonly #queue: AdmissionQueue<Waiter>;
  readonly #handlesByLoad = new Map<UpstreamLoad, UpstreamHandle>();
  readonly #locality: LocalityFilter;
  #selection: Selection;
  #handles: readonly UpstreamHandle[] = [];
  #lastEndAtMs: number | undefined;
  #meanEndIntervalMs = 0;
  #meanDurationMs = 0;

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

  /** Number of queued requests. */
  get queueLength(): number {
    return this.#queue.length;
  }

  /** Applies a changed service and its upstreams. The selection stays as it is if `selection` is undefined. */
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
    this.serveQueue();
  }

  /** Selects an upstream with free capacity; undefined if there is none now. */
  tryAcquire(request: AcquireRequest): UpstreamHandle | undefined {
    const mayLeaveRegion = request.rule.regions !== 'local-only';
    const candidates: UpstreamLoad[] = [];
    for (const handle of this.#handles) {
      const isRegionAllowed =
        mayLeaveRegion || handle.load.distance !== 'other-region';
      if (
        isRegionAllowed &&
        handle.isEligible &&
        !request.excluded.has(handle)
      ) {
        candidates.push(handle.load);
      }
    }
    const nowMs = this.#clock.now();
    const nearby = this.#locality.filter(candidates, nowMs);
    const load = this.#selection.select(nearby, nowMs);
    return load === undefined ? undefined : this.#handlesByLoad.get(load);
  }

  /** Queues a request until an upstream has free capacity. Refuses at once a request that can't be served before its deadline. */
  wait(request: AcquireRequest): PendingAcquire {
    const refusal = this.#findRefusal(request);
    if (refusal !== undefined) {
      const result = Promise.resolve(refused(refusal));
      return {result, cancel: () => {}};
    }
    return this.#enqueue(request);
  }

  /** Called when a request to one of the upstreams has ended, which frees capacity. */
  onEnd(durationMs: number): void {
    const nowMs = this.#clock.now();
    if (this.#lastEndAtMs !== undefined) {
      const intervalMs = nowMs - this.#lastEndAtMs;
      this.#meanEndIntervalMs +=
        SAMPLE_WEIGHT * (intervalMs - this.#meanEndIntervalMs);
    }
    this.#lastEndAtMs = nowMs;
    this.#meanDurationMs += SAMPLE_WEIGHT * (durationMs - this.#meanDurationMs);
    if (this.#queue.length > 0) {
      this.serveQueue();
    }
  }

  /** Assigns upstreams to queued requests as far as there is capacity. */
  serveQueue(): void {
    for (const waiter of this.#queue) {
      const handle = this.tryAcquire(waiter.request);
      if (handle === undefined) {
        this.#refuseIfNoUpstream(waiter);
        continue;
      }
      // The request continues in a later microtask: count it as in flight now, so that its capacity stays reserved.
      const startedAtMs = this.#clock.now();
      this.#settle(waiter, {kind: 'acquired', handle, startedAtMs});
      handle.onStart(startedAtMs);
    }
  }

  #enqueue(request: AcquireRequest): PendingAcquire {
    let settle: (result: AcquireResult) => void = () => {};
    const result = new Promise<AcquireResult>(resolve => (settle = resolve));
    const remainingMs = request.deadlineMs - this.#clock.now();
    const timer = setTimeout(
      () => this.#settle(waiter, refused('deadline-exceeded')),
      remainingMs,
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

  #findRefusal(request: AcquireRequest): AcquireRefusal | undefined {
    if (!this.#hasUsableUpstream(request)) {
      return 'no-upstream';
    }
    const remainingMs = request.deadlineMs - this.#clock.now();
    if (remainingMs <= 0) {
      return 'deadline-exceeded';
    }
    const expectedWaitMs = this.#queue.length * this.#meanEndIntervalMs;
    const wouldMissDeadline =
      this.#queue.length > 0 &&
      expectedWaitMs + this.#meanDurationMs > remainingMs;
    return wouldMissDeadline ? 'overloaded' : undefined;
  }

  #hasUsableUpstream(request: AcquireRequest): boolean {
    return this.#handles.some(
      handle =>
        (handle.state === 'live' || handle.state === 'probation') &&
        !request.excluded.has(handle) &&
        (request.rule.regions === 'local-first' ||
          handle.load.distance !== 'other-region'),
    );
  }

  #refuseIfNoUpstream(waiter: Waiter): void {
    if (!this.#hasUsableUpstream(waiter.request)) {
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
