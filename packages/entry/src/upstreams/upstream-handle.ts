/** One upstream as this entry uses it: its connections, its load, its life cycle. */

import type {Upstream} from '@wasabidyke/manifest';
import {
  UpstreamLoad,
  type AttemptEnd,
  type Distance,
  type RandomSource,
} from '@wasabidyke/policy';
import {Chart, LifeCycle, type Clock} from '@wasabidyke/shared';
import {Pool} from 'undici';

/** States of an upstream's life cycle. */
export type UpstreamState =
  'live' | 'ejected' | 'probation' | 'draining' | 'gone';

/** Events of an upstream's life cycle. */
export type UpstreamTrigger =
  'FAIL' | 'SUCCEED' | 'BACK_OFF_OVER' | 'LEAVE' | 'RETURN' | 'REMOVE';

/** Told of each change of an upstream's state. */
export type UpstreamStateListener = (
  handle: UpstreamHandle,
  from: UpstreamState,
  to: UpstreamState,
) => void;

/** What a handle needs. */
export interface UpstreamHandleOptions {
  readonly service: string;
  readonly upstream: Upstream;
  readonly distance: Distance;
  /** Connections that this entry may hold to it. */
  readonly connectionLimit: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly onState: UpstreamStateListener;
}

const UPSTREAM_CHART = Chart.load<UpstreamState, UpstreamTrigger>(
  new URL('../../charts/upstream.chart.json', import.meta.url),
);

/** Failures in a row, after bytes were sent, that eject an upstream. */
const FAILURE_LIMIT = 3;

const SHORTEST_BACK_OFF_MS = 250;
const LONGEST_BACK_OFF_MS = 8_000;

/** Time allowed to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** How long an idle connection is kept, in milliseconds. */
const IDLE_CONNECTION_MS = 60_000;

/** One upstream as this entry uses it. */
export class UpstreamHandle {
  readonly service: string;
  readonly load: UpstreamLoad;
  readonly #options: UpstreamHandleOptions;
  readonly #lifeCycle: LifeCycle<UpstreamState, UpstreamTrigger>;
  #pool: Pool;
  #connectionLimit: number;
  #failures = 0;
  #backOffMs = SHORTEST_BACK_OFF_MS;
  #backOffTimer: NodeJS.Timeout | undefined;

  constructor(options: UpstreamHandleOptions) {
    this.#options = options;
    this.service = options.service;
    this.load = new UpstreamLoad(options.upstream, options.distance);
    this.#connectionLimit = options.connectionLimit;
    this.#pool = createPool(options.upstream, options.connectionLimit);
    this.#lifeCycle = new LifeCycle(UPSTREAM_CHART, (from, to) =>
      options.onState(this, from, to),
    );
  }

  get name(): string {
    return this.load.upstream.name;
  }

  get address(): string {
    return this.load.upstream.address;
  }

  get state(): UpstreamState {
    return this.#lifeCycle.state;
  }

  get pool(): Pool {
    return this.#pool;
  }

  /** Connections that are open now. */
  get connections(): number {
    return this.#pool.stats.connected;
  }

  get connectionLimit(): number {
    return this.#connectionLimit;
  }

  /** Whether a new request may go to it now. */
  get isEligible(): boolean {
    const {state} = this.#lifeCycle;
    if (state === 'live') {
      return this.load.inFlight < this.#connectionLimit;
    }
    return state === 'probation' && this.load.inFlight === 0;
  }

  /** Takes over a changed description with the same address. */
  applyUpstream(upstream: Upstream, connectionLimit: number): void {
    this.load.applyUpstream(upstream);
    if (connectionLimit !== this.#connectionLimit) {
      this.#connectionLimit = connectionLimit;
      const former = this.#pool;
      this.#pool = createPool(upstream, connectionLimit);
      void former.close();
    }
  }

  /** A request is about to be sent. @param nowMs Its start; `onEnd` counts from there. */
  onStart(nowMs: number): void {
    this.load.onStart(nowMs);
  }

  /** A request has ended after `durationMs`. */
  onEnd(end: AttemptEnd, durationMs: number): void {
    this.load.onEnd(end, durationMs, this.#options.clock.now());
    if (end === 'failed') {
      this.#onFailure(FAILURE_LIMIT);
    } else if (end !== 'cancelled') {
      this.#onSuccess();
    }
  }

  /** The upstream answered with an error of its own: it counts against selecting it, but doesn't eject it. */
  onErrorAnswer(durationMs: number): void {
    this.load.onEnd('failed', durationMs, this.#options.clock.now());
    this.#onSuccess();
  }

  /** A connection could not be opened: the upstream is not there. */
  onUnreachable(durationMs: number): void {
    this.load.onEnd('failed', durationMs, this.#options.clock.now());
    this.#onFailure(1);
  }

  /** It became known that the upstream is leaving. */
  leave(): boolean {
    clearTimeout(this.#backOffTimer);
    return this.#lifeCycle.trigger('LEAVE');
  }

  /** The upstream is staying after all. */
  return(): boolean {
    return this.#lifeCycle.trigger('RETURN');
  }

  /** Takes the upstream out of use; requests under way end first. */
  async remove(): Promise<void> {
    clearTimeout(this.#backOffTimer);
    this.#lifeCycle.trigger('REMOVE');
    await this.#pool.close();
  }

  #onSuccess(): void {
    this.#failures = 0;
    this.#backOffMs = SHORTEST_BACK_OFF_MS;
    if (this.#lifeCycle.trigger('SUCCEED')) {
      this.load.beginRamp(this.#options.clock.now());
    }
  }

  #onFailure(limit: number): void {
    this.#failures += 1;
    const isOnProbation = this.#lifeCycle.state === 'probation';
    if (this.#failures < limit && !isOnProbation) {
      return;
    }
    if (this.#lifeCycle.trigger('FAIL')) {
      this.#startBackOff();
    }
  }

  #startBackOff(): void {
    const jitterMs = this.#options.random.nextBelow(this.#backOffMs);
    const delayMs = this.#backOffMs / 2 + jitterMs;
    this.#backOffMs = Math.min(this.#backOffMs * 2, LONGEST_BACK_OFF_MS);
    this.#backOffTimer = setTimeout(() => {
      this.#failures = 0;
      this.#lifeCycle.trigger('BACK_OFF_OVER');
    }, delayMs);
    this.#backOffTimer.unref();
  }
}

function createPool(upstream: Upstream, connections: number): Pool {
  return new Pool(`http://${upstream.address}`, {
    connections,
    pipelining: 1,
    connectTimeout: CONNECT_TIMEOUT_MS,
    keepAliveTimeout: IDLE_CONNECTION_MS,
    keepAliveMaxTimeout: IDLE_CONNECTION_MS,
  });
}
