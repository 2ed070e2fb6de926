/**
 * Keeps load reports of upstreams recent within the manifest's budget. Answers
 * to requests carry reports at no cost; upstreams without a recent report are
 * probed at their load page, and each probe is charged at its full size. Only
 * holders of numbered slots in the store may spend, each an equal share, so
 * that the sum stays within the budget even when entries have different views
 * of which entries exist.
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

/** Called when an upstream announces its departure or withdraws the announcement. */
export type LeavingListener = (handle: UpstreamHandle) => void;

/** Options of `LoadWatch`. */
export interface LoadWatchOptions {
  readonly keeper: ManifestKeeper;
  readonly registry: UpstreamRegistry;
  readonly slot: BudgetSlot;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: MetricRegistry;
  readonly onLeavingSignal: LeavingListener;
  /** Called when an upstream answers without announcing its departure. */
  readonly onLeavingCancelled: LeavingListener;
}

/** Time between two checks for stale reports, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Maximum age of a report before the upstream is probed when the manifest prefers low tail latency, in milliseconds. */
const TAIL_FIRST_MAXIMUM_AGE_MS = 500;

/** The same maximum age when the manifest prefers low cost, in milliseconds. */
const COST_FIRST_MAXIMUM_AGE_MS = 10_000;

/** The same maximum age for an upstream that is leaving, in milliseconds. */
const LEAVING_MAXIMUM_AGE_MS = 10_000;

/** Capacity of the token buckets, as the time in which that many tokens come in, in milliseconds. */
const BUCKET_CAPACITY_MS = 100;

const PROBE_TIMEOUT_MS = 500;

/** Maximum number of probes in flight. */
const MAXIMUM_PROBES = 16;

/** Maximum size of a probe's answer; the connection of a longer one is closed. */
const MAXIMUM_ANSWER_BYTES = 1_024;

/** Maximum size of a probe on the wire: request, answer, and the segments that open and close its connection. */
const PROBE_BYTES = 256 + MAXIMUM_ANSWER_BYTES + 10 * 66;

/** Probes the load of upstreams within the budget. */
export class LoadWatch {
  readonly #options: LoadWatchOptions;
  readonly #requests: TokenBucket;
  readonly #bytes: TokenBucket;
  readonly #crossRegionBytes: TokenBucket;
  readonly #probes: Counter;
  readonly #withheldProbes: Counter;
  readonly #startedAtMs: number;
  #spentBytes = 0;
  #spentCrossRegionBytes = 0;
  #probesInFlight = 0;
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
    this.#withheldProbes = options.metrics.counter(
      'wasabidyke_load_probes_withheld_total',
      'Probes not sent because the budget was spent or no slot was held.',
    );
  }

  /** Starts to probe. */
  start(): void {
    this.#timer = setInterval(() => this.#onTick(), CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Stops probing. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** The budget, this entry's share and its use; undefined before the first manifest. */
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
      withheld: this.#withheldProbes.value,
    };
  }

  #toShare(budget: LoadWatchRates): LoadWatchRates {
    const {slot, clock} = this.#options;
    const held = slot.heldShare(clock.now());
    const fraction = held === undefined ? 0 : 1 / held.shares;
    return {
      requestsPerSecond: budget.requestsPerSecond * fraction,
      bytesPerSecond: budget.bytesPerSecond * fraction,
      crossRegionBytesPerSecond: budget.crossRegionBytesPerSecond * fraction,
    };
  }

  #onTick(): void {
    const watch = this.#options.keeper.snapshot?.manifest.loadWatch;
    if (watch === undefined) {
      return;
    }
    this.#applyShare(this.#toShare(watch));
    const maximumAgeMs =
      watch.preference === 'tail-first'
        ? TAIL_FIRST_MAXIMUM_AGE_MS
        : COST_FIRST_MAXIMUM_AGE_MS;
    const handles = this.#options.registry.handles;
    const offset = this.#options.random.nextBelow(Math.max(1, handles.length));
    for (let index = 0; index < handles.length; index++) {
      const handle = handles[(index + offset) % handles.length];
      if (this.#needsProbe(handle, maximumAgeMs)) {
        this.#probeWithinBudget(handle, watch.preference === 'cost-first');
      }
    }
  }

  /** Applies the rates of the share. A newly acquired slot starts with empty buckets. */
  #applyShare(share: LoadWatchRates): void {
    const {slot, clock} = this.#options;
    const nowMs = clock.now();
    this.#requests.applyRate(share.requestsPerSecond, nowMs);
    this.#bytes.applyRate(share.bytesPerSecond, nowMs);
    this.#crossRegionBytes.applyRate(share.crossRegionBytesPerSecond, nowMs);
    const term = slot.heldShare(nowMs)?.term;
    if (term !== this.#term) {
      this.#term = term;
      this.#requests.clear(nowMs);
      this.#bytes.clear(nowMs);
      this.#crossRegionBytes.clear(nowMs);
    }
  }

  #needsProbe(handle: UpstreamHandle, maximumAgeMs: number): boolean {
    const isDraining = handle.state === 'draining';
    if (handle.state !== 'live' && !isDraining) {
      return false;
    }
    const {report} = handle.load;
    const nowMs = this.#options.clock.now();
    const applicableAgeMs = isDraining ? LEAVING_MAXIMUM_AGE_MS : maximumAgeMs;
    return report === undefined || nowMs - report.madeAtMs > applicableAgeMs;
  }

  #probeWithinBudget(handle: UpstreamHandle, isCostFirst: boolean): void {
    const isCrossRegion = handle.load.distance === 'other-region';
    if (isCrossRegion && isCostFirst) {
      return;
    }
    if (
      this.#probesInFlight >= MAXIMUM_PROBES ||
      !this.#charge(isCrossRegion)
    ) {
      this.#withheldProbes.add();
      return;
    }
    void this.#probe(handle);
  }

  #charge(isCrossRegion: boolean): boolean {
    const nowMs = this.#options.clock.now();
    if (this.#options.slot.heldShare(nowMs) === undefined) {
      return false;
    }
    const isWithinBudget =
      this.#requests.has(1, nowMs) &&
      this.#bytes.has(PROBE_BYTES, nowMs) &&
      (!isCrossRegion || this.#crossRegionBytes.has(PROBE_BYTES, nowMs));
    if (!isWithinBudget) {
      return false;
    }
    this.#requests.take(1, nowMs);
    this.#bytes.take(PROBE_BYTES, nowMs);
    this.#spentBytes += PROBE_BYTES;
    if (isCrossRegion) {
      this.#crossRegionBytes.take(PROBE_BYTES, nowMs);
      this.#spentCrossRegionBytes += PROBE_BYTES;
    }
    return true;
  }

  async #probe(handle: UpstreamHandle): Promise<void> {
    this.#probes.add();
    this.#probesInFlight += 1;
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
        this.#options.onLeavingCancelled(handle);
      }
    } catch {
      // Failed probes are ignored: failures of requests show the upstream's condition better.
    } finally {
      this.#probesInFlight -= 1;
    }
  }
}

/** Creates a bucket that can save up the tokens of one probe, however small the share is. */
function createBucket(probeCost: number, nowMs: number): TokenBucket {
  return new TokenBucket({
    ratePerSecond: 0,
    capacityMs: BUCKET_CAPACITY_MS,
    minimumCapacity: probeCost,
    nowMs,
  });
}
