/** Runtime state of routes and services that outlives configuration changes. */

import {
  LimitedAdmission,
  OverloadAdmission,
  RepeatBudget,
  ValueAdmission,
  WeightedRoundRobin,
  WorkEstimate,
  type RandomSource,
  type RepeatBudgetOptions,
  type ServiceAdmission,
} from '@wasabidyke/policy';
import type {Route} from '../routing/routing-configuration.js';

const PERMILLE = 1_000;

/** Options of `RouteState`. */
export interface RouteStateOptions {
  readonly random: RandomSource;
  readonly repeatBudgetOptions: () => RepeatBudgetOptions;
  /** Whether a service admits by value: the settings ask for it, and requests of several priorities can arrive there. */
  readonly admitsByValue: (service: string) => boolean;
}

/** A route's rotation over its services, valid while the route's targets stay the same. */
interface RouteRotation {
  readonly targetsKey: string;
  readonly rotation: WeightedRoundRobin;
}

/** Rotations, work estimates, repeat budgets and admission to full and to limited upstreams, by route or service name. */
export class RouteState {
  readonly #rotations = new Map<string, RouteRotation>();
  readonly #workEstimates = new Map<string, WorkEstimate>();
  readonly #repeatBudgets = new Map<string, RepeatBudget>();
  readonly #limitedAdmissions = new Map<string, LimitedAdmission>();
  readonly #overloadAdmissions = new Map<string, OverloadAdmission>();
  readonly #valueAdmissions = new Map<string, ValueAdmission>();
  readonly #options: RouteStateOptions;

  constructor(options: RouteStateOptions) {
    this.#options = options;
  }

  /** Selects the service for the next request of a route; undefined if several targets all have weight 0. */
  nextService(route: Route): string | undefined {
    if (route.targets.length === 1) {
      return route.targets[0].name;
    }
    const targetsKey = JSON.stringify(route.targets);
    const existing = this.#rotations.get(route.name);
    if (existing?.targetsKey === targetsKey) {
      return existing.rotation.next();
    }
    // Entries with equal phases would send to the same services in step.
    const phase = this.#options.random.nextBelow(PERMILLE) / PERMILLE;
    const rotation = new WeightedRoundRobin(route.targets, phase);
    this.#rotations.set(route.name, {targetsKey, rotation});
    return rotation.next();
  }

  /** Estimate of how long an upstream works on a request of the route. */
  workEstimate(route: Route): WorkEstimate {
    const existing = this.#workEstimates.get(route.name);
    if (existing !== undefined) {
      return existing;
    }
    const workEstimate = new WorkEstimate(route.targetLatencyMs);
    this.#workEstimates.set(route.name, workEstimate);
    return workEstimate;
  }

  /** Admission of a service's requests to upstreams that name limits. */
  limitedAdmission(service: string): LimitedAdmission {
    const existing = this.#limitedAdmissions.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const limitedAdmission = new LimitedAdmission(this.#options.random);
    this.#limitedAdmissions.set(service, limitedAdmission);
    return limitedAdmission;
  }

  /** Whether requests of a service are admitted, and repeated, by value. */
  isValueBased(service: string): boolean {
    return this.#options.admitsByValue(service);
  }

  /** Admission of a service's requests while its upstreams are full: by value if they are of several priorities. */
  admission(service: string): ServiceAdmission {
    return this.isValueBased(service)
      ? this.#valueAdmission(service)
      : this.#overloadAdmission(service);
  }

  /** Highest pressure at a service that admits by value, from 0 to 1. */
  get highestPressure(): number {
    const admissions = [...this.#valueAdmissions.values()];
    return Math.max(0, ...admissions.map(({pressure}) => pressure));
  }

  #valueAdmission(service: string): ValueAdmission {
    const existing = this.#valueAdmissions.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const valueAdmission = new ValueAdmission(this.#options.random);
    this.#valueAdmissions.set(service, valueAdmission);
    return valueAdmission;
  }

  #overloadAdmission(service: string): OverloadAdmission {
    const existing = this.#overloadAdmissions.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const overloadAdmission = new OverloadAdmission(this.#options.random);
    this.#overloadAdmissions.set(service, overloadAdmission);
    return overloadAdmission;
  }

  /** This entry's share of a service's budget for retries and hedges. */
  repeatBudget(service: string): RepeatBudget {
    const existing = this.#repeatBudgets.get(service);
    if (existing !== undefined) {
      existing.apply(this.#options.repeatBudgetOptions());
      return existing;
    }
    const repeatBudget = new RepeatBudget(this.#options.repeatBudgetOptions());
    this.#repeatBudgets.set(service, repeatBudget);
    return repeatBudget;
  }
}
