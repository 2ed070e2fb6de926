/** What one request may take of the repeat budget of its service. */

import {repeatReserve, type RepeatBudget} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {RoutedRequest} from './routed-request.js';
import type {RouteState} from './route-state.js';

/** Limit of attempts that fail before a byte is sent; they don't count as attempts of the route, as they cost upstreams nothing. */
export const MAXIMUM_UNSENT_ATTEMPTS = 4;

/** Options of `RequestRepeats`. */
export interface RequestRepeatsOptions {
  readonly routeState: RouteState;
  readonly registry: UpstreamRegistry;
  readonly clock: Clock;
}

/** Retries and hedges of one request. Where requests are of several priorities, a less urgent or late one leaves a part of the budget to the others. */
export class RequestRepeats {
  readonly #request: RoutedRequest;
  readonly #options: RequestRepeatsOptions;

  constructor(request: RoutedRequest, options: RequestRepeatsOptions) {
    this.#request = request;
    this.#options = options;
  }

  /** The budget of the service. */
  get budget(): RepeatBudget {
    return this.#options.routeState.repeatBudget(this.#request.service);
  }

  /** Whether the request may be sent once more. */
  isAllowed(): boolean {
    return this.budget.has(this.#options.clock.now(), this.#reservedShare);
  }

  /** Takes one repeat; returns false if none is left for the request. */
  take(): boolean {
    return this.budget.take(this.#options.clock.now(), this.#reservedShare);
  }

  get #reservedShare(): number {
    const {routeState, registry, clock} = this.#options;
    const {service, route, priority, arrivedAtMs} = this.#request;
    if (!routeState.isValueBased(service)) {
      return 0;
    }
    const nowMs = clock.now();
    const {workMs} = routeState.workEstimate(route);
    const failures = registry.groupFailureShare(service, 'same-region');
    return repeatReserve({
      moreUrgentShare: routeState.admission(service).moreUrgentShare(priority),
      failureShare: failures.share(nowMs),
      ratio: this.budget.ratio,
      isLate: nowMs + workMs > arrivedAtMs + route.targetLatencyMs,
    });
  }
}
