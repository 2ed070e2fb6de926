/** What is learned of routes and services, kept across changes of the configuration. */

import {
  RepeatBudget,
  WeightedTurn,
  WorkEstimate,
  type RandomSource,
  type RepeatBudgetOptions,
} from '@wasabidyke/policy';
import type {Route} from '../routing/routing-configuration.js';

const PERMILLE = 1_000;

interface Dealt {
  readonly key: string;
  readonly turn: WeightedTurn;
}

/** What is learned of routes and services. */
export class RouteMemory {
  readonly #turns = new Map<string, Dealt>();
  readonly #works = new Map<string, WorkEstimate>();
  readonly #budgets = new Map<string, RepeatBudget>();
  readonly #random: RandomSource;
  readonly #budgetOptions: () => RepeatBudgetOptions;

  constructor(random: RandomSource, budgetOptions: () => RepeatBudgetOptions) {
    this.#random = random;
    this.#budgetOptions = budgetOptions;
  }

  /** The service that the next request of a route goes to. */
  nextService(route: Route): string | undefined {
    if (route.targets.length === 1) {
      return route.targets[0].name;
    }
    const key = JSON.stringify(route.targets);
    const known = this.#turns.get(route.name);
    if (known?.key === key) {
      return known.turn.next();
    }
    const phase = this.#random.nextBelow(PERMILLE) / PERMILLE;
    const turn = new WeightedTurn(route.targets, phase);
    this.#turns.set(route.name, {key, turn});
    return turn.next();
  }

  /** How long the work of a route's requests takes. */
  work(route: Route): WorkEstimate {
    const known = this.#works.get(route.name);
    if (known !== undefined) {
      return known;
    }
    const work = new WorkEstimate(route.targetLatencyMs);
    this.#works.set(route.name, work);
    return work;
  }

  /** This entry's part of a service's budget for repeats. */
  budget(service: string): RepeatBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) {
      known.apply(this.#budgetOptions());
      return known;
    }
    const budget = new RepeatBudget(this.#budgetOptions());
    this.#budgets.set(service, budget);
    return budget;
  }
}
