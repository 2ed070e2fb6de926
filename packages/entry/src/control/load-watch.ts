/**
 * Watches the load of upstreams within the manifest's budget. Answers carry
 * reports at no cost; probes of the load page fill the gaps and are charged at
 * their full size. Only the holder of one of the numbered slots in the store
 * may spend, each an equal part, so that the sum holds whatever entries
 * believe about one another.
 */

import type {LoadWatchRates, LoadWatchStatus} from '@wasabidyke/operator';
import {
  LOAD_REPORT_HEADER,
  parseLoadReport,
  TokenBucket,
  type RandomSource,
} from '@wasabidyke/policy';
import type {Clock, Counter, MetricRegistry} from '@wasabidyke/shared';
import {request} from 'undici';
import {UPSTREAM_STATE_HEADER} from '../data-path/headers.js';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {BudgetSlot} from './budget-slot.js';
import type {ManifestKeeper} from './manifest-keeper.js';

/** Told what an upstream says of its leaving. */
export type LeavingListener = (handle: UpstreamHandle) => void;

/** What watching needs. */
export interface LoadWatchOptions {
  readonly keeper: ManifestKeeper;
  readonly registry: UpstreamRegistry;
  readonly slot: BudgetSlot;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: MetricRegistry;
  readonly onLeavingSignal: LeavingListener;
  /** Told when an upstream that had said so answers without saying so. */
  readonly onReturn: LeavingListener;
}

/** How often gaps are looked for, in milliseconds. */
const PERIOD_MS = 100;

/** A report older than this leaves a gap when tail latency weighs more, in milliseconds. */
const TAIL_FIRST_AGE_MS = 500;

/** A report older than this leaves a gap when cost weighs more, in milliseconds. */
const COST_FIRST_AGE_MS = 10_000;

/** An upstream that said that it is leaving is asked again after this time, in milliseconds. */
const LEAVING_AGE_MS = 10_000;

/** Tokens of how many milliseconds may be saved up. */
const SAVED_MS = 100;

const PROBE_TIMEOUT_MS = 500;

/** Probes under way at most. */
const MAXIMUM_PROBES = 16;

/** Largest answer to a probe; the connection of a longer one is closed. */
const MAXIMUM_ANSWER_BYTES = 1_024;

/** Size of a probe on the wire at most: request, answer, and the segments that open and close its connection. */
const PROBE_BYTES = 256 + MAXIMUM_ANSWER_BYTES + 10 * 66;

/** Watches the load of upstreams. */
export class LoadWatch {
  readonly #options: LoadWatchOptions;
  readonly #requests: TokenBucket;
  readonly #bytes: TokenBucket;
  readonly #crossRegionBytes: TokenBucket;
  readonly #probes: Counter;
  readonly #withheld: Counter;
  readonly #startedAtMs: number;
  #spentBytes = 0;
  #spentCrossRegionBytes = 0;
  #underWay = 0;
  #term: number | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: LoadWatchOptions) {
    this.#options = options;
    const nowMs = options.clock.now();
    this.#startedAtMs = nowMs;
    this.#requests = createBucket(1, nowMs);
    this.#bytes = createBucket(PROBE_BYTES, nowMs);
    this.#crossRegionBytes = createBucket(PROBE_BYTES, nowMs);
    this.#probes = options.metrics.counter(
      'wasabidyke_load_probes_total',
      'Probes of the load of upstreams.',
    );
    this.#withheld = options.metrics.counter(
      'wasabidyke_load_probes_withheld_total',
      'Probes not sent because the budget was spent or no slot was held.',
    );
  }

  /** Begins to probe. */
  start(): void {
    this.#timer = setInterval(() => this.#onPeriod(), PERIOD_MS);
    this.#timer.unref();
  }

  /** Ends probing. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** The budget and its use; undefined before the first manifest. */
  readStatus(): LoadWatchStatus | undefined {
    const watch = this.#options.keeper.snapshot?.manifest.loadWatch;
    if (watch === undefined) {
      return undefined;
    }
    const {preference, ...budget} = watch;
    return {
      preference,
      budget,
      share: this.#toShare(budget),
      spent: {
        requests: this.#probes.value,
        bytes: this.#spentBytes,
        crossRegionBytes: this.#spentCrossRegionBytes,
      },
      spentOverMs: this.#options.clock.now() - this.#startedAtMs,
      withheld: this.#withheld.value,
    };
  }

  #toShare(budget: LoadWatchRates): LoadWatchRates {
    const {slot, clock} = this.#options;
    const held = slot.held(clock.now());
    const part = held === undefined ? 0 : 1 / held.shares;
    return {
      requestsPerSecond: budget.requestsPerSecond * part,
      bytesPerSecond: budget.bytesPerSecond * part,
      crossRegionBytesPerSecond: budget.crossRegionBytesPerSecond * part,
    };
  }

  #onPeriod(): void {
    const watch = this.#options.keeper.snapshot?.manifest.loadWatch;
    if (watch === undefined) {
      return;
    }
    this.#applyShare(this.#toShare(watch));
    const ageMs =
      watch.preference === 'tail-first' ? TAIL_FIRST_AGE_MS : COST_FIRST_AGE_MS;
    const handles = this.#options.registry.handles;
    const offset = this.#options.random.nextBelow(Math.max(1, handles.length));
    for (let index = 0; index < handles.length; index++) {
      const handle = handles[(index + offset) % handles.length];
      if (this.#hasGap(handle, ageMs)) {
        this.#probeWithinBudget(handle, watch.preference === 'cost-first');
      }
    }
  }

  /** A new holder of a slot begins with nothing saved up. */
  #applyShare(share: LoadWatchRates): void {
    const {slot, clock} = this.#options;
    const nowMs = clock.now();
    this.#requests.applyRate(share.requestsPerSecond, nowMs);
    this.#bytes.applyRate(share.bytesPerSecond, nowMs);
    this.#crossRegionBytes.applyRate(share.crossRegionBytesPerSecond, nowMs);
    const term = slot.held(nowMs)?.term;
    if (term !== this.#term) {
      this.#term = term;
      this.#requests.clear(nowMs);
      this.#bytes.clear(nowMs);
      this.#crossRegionBytes.clear(nowMs);
    }
  }

  #hasGap(handle: UpstreamHandle, ageMs: number): boolean {
    const isDraining = handle.state === 'draining';
    if (handle.state !== 'live' && !isDraining) {
      return false;
    }
    const {report} = handle.load;
    const nowMs = this.#options.clock.now();
    const limitMs = isDraining ? LEAVING_AGE_MS : ageMs;
    return report === undefined || nowMs - report.madeAtMs > limitMs;
  }

  #probeWithinBudget(handle: UpstreamHandle, isCostFirst: boolean): void {
    const isRemote = handle.load.distance === 'other-region';
    if (isRemote && isCostFirst) {
      return;
    }
    if (this.#underWay >= MAXIMUM_PROBES || !this.#charge(isRemote)) {
      this.#withheld.add();
      return;
    }
    void this.#probe(handle);
  }

  #charge(isRemote: boolean): boolean {
    const nowMs = this.#options.clock.now();
    if (this.#options.slot.held(nowMs) === undefined) {
      return false;
    }
    const hasRoom =
      this.#requests.has(1, nowMs) &&
      this.#bytes.has(PROBE_BYTES, nowMs) &&
      (!isRemote || this.#crossRegionBytes.has(PROBE_BYTES, nowMs));
    if (!hasRoom) {
      return false;
    }
    this.#requests.take(1, nowMs);
    this.#bytes.take(PROBE_BYTES, nowMs);
    this.#spentBytes += PROBE_BYTES;
    if (isRemote) {
      this.#crossRegionBytes.take(PROBE_BYTES, nowMs);
      this.#spentCrossRegionBytes += PROBE_BYTES;
    }
    return true;
  }

  async #probe(handle: UpstreamHandle): Promise<void> {
    this.#probes.add();
    this.#underWay += 1;
    const {clock} = this.#options;
    const sentAtMs = clock.now();
    try {
      const answer = await request(`http://${handle.address}/load`, {
        headers: {connection: 'close'},
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      await answer.body.dump({limit: MAXIMUM_ANSWER_BYTES});
      const header = answer.headers[LOAD_REPORT_HEADER];
      const text = typeof header === 'string' ? header : undefined;
      const report = parseLoadReport(text, sentAtMs);
      if (report !== undefined) {
        handle.load.onReport(report);
      }
      if (answer.headers[UPSTREAM_STATE_HEADER] === 'leaving') {
        this.#options.onLeavingSignal(handle);
      } else if (answer.statusCode === 200) {
        this.#options.onReturn(handle);
      }
    } catch {
      // A probe that fails says nothing that requests don't say better.
    } finally {
      this.#underWay -= 1;
    }
  }
}

/** However small the share, one whole probe can be saved up. */
function createBucket(probe: number, nowMs: number): TokenBucket {
  return new TokenBucket({
    ratePerSecond: 0,
    capacityMs: SAVED_MS,
    minimumCapacity: probe,
    nowMs,
  });
}
