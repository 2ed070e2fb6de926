/** Decides when one request is hedged, i.e. sent a second time while its first attempt takes much longer than estimated. */

import {hedgeReserve, type RepeatBudget} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import {hedgeDelayMs} from './attempt-timing.js';
import type {RoutedRequest} from './routed-request.js';
import {isUpstreamAttempt, type PendingAttempt} from './upstream-sender.js';
import type {SelectedUpstream} from './upstream-selector.js';

/** Options of `Hedging`. */
export interface HedgingOptions {
  readonly registry: UpstreamRegistry;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Hedges of one request. */
export class Hedging {
  readonly #request: RoutedRequest;
  readonly #options: HedgingOptions;
  #timer: NodeJS.Timeout | undefined;

  constructor(request: RoutedRequest, options: HedgingOptions) {
    this.#request = request;
    this.#options = options;
  }

  /** Calls `hedge` once the attempt takes much longer than estimated. */
  schedule({estimateMs}: PendingAttempt, hedge: () => Promise<void>): void {
    this.#timer = setTimeout(() => void hedge(), hedgeDelayMs(estimateMs));
  }

  /** Logs that the request is sent to another upstream as well. */
  log(first: PendingAttempt, selected: SelectedUpstream): void {
    const {log, clock} = this.#options;
    log.record('request.hedged', {
      request: this.#request.requestId,
      upstream: selected.handle.id,
      estimateMs: Math.round(selected.estimateMs),
      firstUpstream: isUpstreamAttempt(first)
        ? first.selected.handle.id
        : undefined,
      firstEstimateMs: Math.round(first.estimateMs),
      firstElapsedMs: Math.round(clock.now() - first.startedAtMs),
    });
  }

  /** Cancels a hedge that is scheduled. */
  cancel(): void {
    clearTimeout(this.#timer);
  }

  /** Whether the budget exceeds what retries of failing requests need. */
  isAffordable({distance}: PendingAttempt, budget: RepeatBudget): boolean {
    const {registry, clock} = this.#options;
    const nowMs = clock.now();
    const {service} = this.#request;
    const failureShare = registry.groupFailureShare(service, distance);
    const reservedShare = hedgeReserve(failureShare.share(nowMs), budget.ratio);
    return budget.has(nowMs, reservedShare);
  }
}
