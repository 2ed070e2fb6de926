/** What this entry may use of limits that hold for all entries together. */

import type {RepeatBudgetOptions} from '@wasabidyke/policy';
import type {BalancerSettings} from './balancer-settings.js';
import type {RoutingTable} from './routing/routing-table.js';

/** Options of `EntryShare`. */
export interface EntryShareOptions {
  readonly settings: () => BalancerSettings;
  readonly table: () => RoutingTable | undefined;
  /** Number of entries. */
  readonly entries: () => number;
  /** Number of upstreams. */
  readonly upstreams: () => number;
}

/** Share of the allowed load queries that is used. */
const LOAD_QUERY_SHARE = 0.8;

/** Share of the connections to an upstream that is divided among the entries: not all entries use all upstreams. */
const CONNECTION_SHARE = 0.9;

/** Factor on the number of known entries that allows for entries that are joining. */
const JOINING_FACTOR = 1.4;

const MINIMUM_CONNECTIONS = 2;

/** Divides limits by the number of entries. */
export class EntryShare {
  readonly #options: EntryShareOptions;

  constructor(options: EntryShareOptions) {
    this.#options = options;
  }

  /** Load queries per second. */
  get loadQueriesPerSecond(): number {
    const {settings, entries, upstreams} = this.#options;
    const ratePerUpstream = settings().loadQueriesPerSecond * LOAD_QUERY_SHARE;
    return (ratePerUpstream * upstreams()) / entries();
  }

  /** Connections to one upstream of a service. */
  connectionLimit(service: string): number {
    const {table, entries} = this.#options;
    const connections =
      table()?.findService(service)?.connections ?? MINIMUM_CONNECTIONS;
    const share = Math.floor(
      (connections * CONNECTION_SHARE) / (entries() * JOINING_FACTOR),
    );
    return Math.max(MINIMUM_CONNECTIONS, share);
  }

  /** Whether requests of a service are admitted by value. */
  admitsByValue(service: string): boolean {
    const {settings, table} = this.#options;
    return (
      settings().overload === 'by-value' &&
      table()?.hasSeveralPriorities(service) === true
    );
  }

  /** The budget for repeats. */
  get repeats(): RepeatBudgetOptions {
    const {settings, entries} = this.#options;
    const {ratio, slack, window} = settings().repeats;
    return {
      ratio,
      slack,
      windowMs: window,
      entries: Math.ceil(entries() * JOINING_FACTOR),
    };
  }
}
