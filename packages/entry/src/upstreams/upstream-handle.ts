/** This entry's connections to one upstream, with the upstream's load and life cycle as seen from here. */

import type {Upstream} from '@wasabidyke/manifest';
import {
  UpstreamLoad,
  type AttemptEnd,
  type Distance,
  type RandomSource,
} from '@wasabidyke/policy';
import {Chart, LifeCycle, type Clock} from '@wasabidyke/shared';
import type {Pool} from 'undici';
import {createAttemptPool} from '../data-path/attempt-pool.js';

/** States of an upstream's life cycle. */
export type UpstreamState =
  'live' | 'ejected' | 'probation' | 'draining' | 'gone';

/** Events of an upstream's life cycle. */
export type UpstreamTrigger =
  'FAIL' | 'SUCCEED' | 'BACK_OFF_OVER' | 'LEAVE' | 'RETURN' | 'REMOVE';

/** Called after each change of an upstream's state. */
export type UpstreamStateListener = (
  handle: UpstreamHandle,
  from: UpstreamState,
  to: UpstreamState,
) => void;

/** Options of `UpstreamHandle`. */
export interface UpstreamHandleOptions {
  readonly service: string;
  readonly upstream: Upstream;
  readonly distance: Distance;
  /** Maximum number of connections from this entry to the upstream. */
  readonly connectionLimit: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly onStateChange: UpstreamStateListener;
}

const UPSTREAM_CHART = Chart.load<UpstreamState, UpstreamTrigger>(
  new URL('../../charts/upstream.chart.json', import.meta.url),
);

/** Consecutive failures, after bytes were sent, that eject an upstream. */
const FAILURE_LIMIT = 3;

const MINIMUM_BACK_OFF_MS = 250;
const MAXIMUM_BACK_OFF_MS = 8_000;

/** Time allowed to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** How long an idle connection is kept open, in milliseconds. */
const IDLE_CONNECTION_TIMEOUT_MS = 60_000;

/** Connection pool, load and life cycle of one upstream in this entry. */
export class UpstreamHandle {
  readonly service: string;
  readonly load: UpstreamLoad;
  readonly #options: UpstreamHandleOptions;
  readonly #lifeCycle: LifeCycle<UpstreamState, UpstreamTrigger>;
  #pool: Pool;
  #connectionLimit: number;
  #consecutiveFailures = 0;
  #backOffMs = MINIMUM_BACK_OFF_MS;
  #backOffTimer: NodeJS.Timeout | undefined;
  #answeredAtMs = -Infinity;
  #onConnectionLost: () => void = () => {};

  constructor(options: UpstreamHandleOptions) {
    this.#options = options;
    this.service = options.service;
    this.load = new UpstreamLoad(options.upstream, options.distance);
    this.#connectionLimit = options.connectionLimit;
    this.#pool = this.#createPool(options.upstream);
    this.#lifeCycle = new LifeCycle(UPSTREAM_CHART, (from, to) =>
      options.onStateChange(this, from, to),
    );
  }

  /** When the upstream last answered a request, on the monotonic clock in milliseconds. */
  get answeredAtMs(): number {
    return this.#answeredAtMs;
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

  /** Sets what is called when a connection to the upstream ends, whoever closed it. */
  listenToConnections(onLost: () => void): void {
    this.#onConnectionLost = onLost;
  }

  /** Whether a new request may be sent to the upstream now. On probation, one request at a time may. */
  get isEligible(): boolean {
    const {state} = this.#lifeCycle;
    if (state === 'live') {
      return this.load.inFlight < this.#connectionLimit;
    }
    return state === 'probation' && this.load.inFlight === 0;
  }

  /** Applies a changed description of the same upstream. A changed connection limit opens a new pool; requests in flight end on the previous one. */
  applyUpstream(upstream: Upstream, connectionLimit: number): void {
    this.load.applyUpstream(upstream);
    if (connectionLimit !== this.#connectionLimit) {
      this.#connectionLimit = connectionLimit;
      const previousPool = this.#pool;
      this.#pool = this.#createPool(upstream);
      void previousPool.close();
    }
  }

  /** Called before a request is sent. @param nowMs Start of the request; the duration given to `onEnd` counts from there. */
  onStart(nowMs: number): void {
    this.load.onStart(nowMs);
  }

  /** Called when a request has ended after `durationMs`. */
  onEnd(end: AttemptEnd, durationMs: number): void {
    this.load.onEnd(end, durationMs, this.#options.clock.now());
    if (end === 'failed') {
      this.#onFailure(FAILURE_LIMIT);
    } else if (end !== 'cancelled') {
      this.#onSuccess();
    }
  }

  /** Called when the upstream answered with an error of its own. The error lowers its chance of selection but doesn't eject it. */
  onErrorAnswer(durationMs: number): void {
    this.load.onEnd('failed', durationMs, this.#options.clock.now());
    this.#onSuccess();
  }

  /** Called when no connection could be opened. Ejects the upstream at once. */
  onUnreachable(durationMs: number): void {
    this.load.onEnd('failed', durationMs, this.#options.clock.now());
    this.#onFailure(1);
  }

  /** Sends no new requests to an upstream that is leaving. Returns whether the state changed. */
  startDraining(): boolean {
    clearTimeout(this.#backOffTimer);
    return this.#lifeCycle.trigger('LEAVE');
  }

  /** Uses the upstream again if it is no longer leaving. Returns whether the state changed. */
  cancelDraining(): boolean {
    return this.#lifeCycle.trigger('RETURN');
  }

  /** Takes the upstream out of use and closes its connections once requests in flight have ended. */
  async remove(): Promise<void> {
    clearTimeout(this.#backOffTimer);
    this.#lifeCycle.trigger('REMOVE');
    await this.#pool.close();
  }

  #createPool({address}: Upstream): Pool {
    const pool = createAttemptPool(`http://${address}`, {
      connections: this.#connectionLimit,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_CONNECTION_TIMEOUT_MS,
    });
    pool.on('disconnect', () => this.#onConnectionLost());
    return pool;
  }

  #onSuccess(): void {
    this.#answeredAtMs = this.#options.clock.now();
    this.#consecutiveFailures = 0;
    this.#backOffMs = MINIMUM_BACK_OFF_MS;
    if (this.#lifeCycle.trigger('SUCCEED')) {
      this.load.beginRamp(this.#options.clock.now());
    }
  }

  #onFailure(limit: number): void {
    this.#consecutiveFailures += 1;
    const isOnProbation = this.#lifeCycle.state === 'probation';
    if (this.#consecutiveFailures < limit && !isOnProbation) {
      return;
    }
    if (this.#lifeCycle.trigger('FAIL')) {
      this.#startBackOff();
    }
  }

  #startBackOff(): void {
    const jitterMs = this.#options.random.nextBelow(this.#backOffMs);
    const delayMs = this.#backOffMs / 2 + jitterMs;
    this.#backOffMs = Math.min(this.#backOffMs * 2, MAXIMUM_BACK_OFF_MS);
    this.#backOffTimer = setTimeout(() => {
      this.#consecutiveFailures = 0;
      this.#lifeCycle.trigger('BACK_OFF_OVER');
    }, delayMs);
    this.#backOffTimer.unref();
  }
}
