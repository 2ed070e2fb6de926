/** Operators and workers as the store sees them: configurations, announcements and leavings. */

import type {RandomSource} from '@wasabidyke/policy';
import type {Accounts} from './accounts.js';
import {ChangingRoutes} from './changing-routes.js';
import {nowMs, type History} from './history.js';
import {HOST, type RouteRecord} from './routes.js';
import type {StoreStandIn} from './store-stand-in.js';
import {LONG_PREFIX} from './worker-stand-in.js';

const ROUTE = {
  timeout: '1500ms',
  target_latency: '300ms',
  priority: 1,
  max_attempts: 3,
};

/** Time after which entries close idle connections, in milliseconds. */
export const IDLE_TIMEOUT_MS = 15_000;

/** Routes that stay as they are. */
const USUAL_ROUTES: ReadonlyArray<[string, RouteRecord]> = [
  ['read', {host: HOST, prefix: '/read/', weights: {reads: 1}}],
  ['write', {host: HOST, prefix: '/write/', weights: {writes: 1}}],
  ['long', {host: HOST, prefix: LONG_PREFIX, weights: {writes: 1}}],
];
const UNSAFE_PREFIXES = ['/write/', LONG_PREFIX];

/** What a worker writes of itself. */
interface Announcement {
  readonly status: {readonly seq: number};
}

/** Writes to the store what operators and workers write. */
export class Operator {
  readonly #store: StoreStandIn;
  readonly #history: History;
  readonly #accounts: Accounts | undefined;
  readonly #changing = new ChangingRoutes();
  #version = 0;
  #sequence = 0;
  /** The last announcements, by worker. */
  readonly #announced = new Map<string, Announcement>();

  /** @param accounts Undefined in runs without client accounts. */
  constructor(
    store: StoreStandIn,
    history: History,
    accounts: Accounts | undefined,
  ) {
    this.#store = store;
    this.#history = history;
    this.#accounts = accounts;
  }

  /** Writes a configuration in which `/moving/` goes to the other service, and whose accounts may have other keys. */
  moveRoute(): void {
    this.#version += 1;
    const movedTo = this.#version % 2 === 0 ? 'writes' : 'reads';
    const service = {health_path: '/health', max_connections: 100};
    const {limits} = this.#changing;
    const routes = new Map<string, RouteRecord>([
      ...USUAL_ROUTES,
      ['moving', {host: HOST, prefix: '/moving/', weights: {[movedTo]: 1}}],
      ...this.#changing.routes,
    ]);
    this.#store.set('op/config', {
      version: this.#version.toString(16).padStart(8, '0'),
      routes: Object.fromEntries(
        [...routes].map(([name, route]) => [name, toWire(route)]),
      ),
      tenants: this.#accounts?.createNext(),
      services: {reads: service, writes: service},
      limits: {
        max_header_bytes: limits.headBytes,
        max_body_bytes: limits.bodyBytes,
        header_timeout: '3s',
        idle_timeout: `${IDLE_TIMEOUT_MS}ms`,
      },
    });
    this.#history.configurations.push({
      version: this.#version,
      movedTo,
      routes: [...routes.values()],
      limits,
      atMs: nowMs(),
    });
  }

  /** Writes a configuration with other routes and limits, in which `/moving/` moves as well. */
  changeRoutes(random: RandomSource): void {
    this.#changing.change(random);
    this.moveRoute();
  }

  /** Announces a worker. */
  announce(
    id: string,
    service: string,
    address: string,
    zone: string,
    state: 'ready' | 'draining' = 'ready',
  ): void {
    this.#sequence += 1;
    this.#history.zones.set(id, zone);
    const announcement = {
      address,
      info: {service, version: 'v1', zone, slots: 4},
      status: {state, seq: this.#sequence, warmup_left: '0ms'},
    };
    this.#announced.set(id, announcement);
    this.#store.set(`servers/${id}`, announcement);
    if (state === 'draining') {
      this.#history.leavings.push({worker: id, atMs: nowMs()});
    }
  }

  /** Writes an announcement that a worker sent before its last one, and that the store has held back. */
  announceLate(id: string): void {
    const last = this.#announced.get(id);
    if (last !== undefined) {
      const status = {...last.status, state: 'ready', seq: last.status.seq - 1};
      this.#store.set(`servers/${id}`, {...last, status});
    }
  }

  /** Evacuates the zone of a worker; returns how to take it back. */
  evacuateZoneOf(id: string): () => void {
    const zone = this.#history.zones.get(id) ?? '';
    const key = `op/evacuate/${zone}`;
    this.#store.set(key, {});
    const evacuation = {zone, fromMs: nowMs(), toMs: Infinity};
    this.#history.evacuations.push(evacuation);
    return () => {
      evacuation.toMs = nowMs();
      this.#store.set(key, undefined);
    };
  }

  /** Removes a worker's announcement. */
  withdraw(id: string): void {
    const isKnown = this.#history.leavings.some(({worker}) => worker === id);
    this.#store.set(`servers/${id}`, undefined);
    if (!isKnown) {
      this.#history.leavings.push({worker: id, atMs: nowMs()});
    }
  }
}

function toWire({host, prefix, weights}: RouteRecord): object {
  const [service, ...others] = Object.keys(weights);
  const target =
    others.length === 0
      ? {service}
      : {
          weighted_services: Object.entries(weights).map(([name, weight]) => ({
            service: name,
            weight,
          })),
        };
  return {
    ...ROUTE,
    ...(prefix === LONG_PREFIX ? {timeout: '20s'} : {}),
    ...target,
    host,
    prefix,
    kind: UNSAFE_PREFIXES.includes(prefix) ? 'unsafe' : 'safe',
  };
}
