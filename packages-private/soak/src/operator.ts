/** Operators and workers as the store sees them: configurations, announcements and leavings. */

import type {Accounts} from './accounts.js';
import {HOST} from './caller.js';
import {nowMs, type History} from './history.js';
import type {StoreStandIn} from './store-stand-in.js';
import {LONG_PREFIX} from './worker-stand-in.js';

const ROUTE = {
  host: HOST,
  timeout: '1500ms',
  target_latency: '300ms',
  priority: 1,
  max_attempts: 3,
};

/** What a worker writes of itself. */
interface Announcement {
  readonly status: {readonly seq: number};
}

/** Writes to the store what operators and workers write. */
export class Operator {
  readonly #store: StoreStandIn;
  readonly #history: History;
  readonly #accounts: Accounts | undefined;
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
    this.#store.set('op/config', {
      version: this.#version.toString(16).padStart(8, '0'),
      routes: {
        read: {...ROUTE, prefix: '/read/', kind: 'safe', service: 'reads'},
        write: {...ROUTE, prefix: '/write/', kind: 'unsafe', service: 'writes'},
        long: {
          ...ROUTE,
          timeout: '20s',
          prefix: LONG_PREFIX,
          kind: 'unsafe',
          service: 'writes',
        },
        moving: {...ROUTE, prefix: '/moving/', kind: 'safe', service: movedTo},
      },
      tenants: this.#accounts?.createNext(),
      services: {reads: service, writes: service},
      limits: {
        max_header_bytes: 8_192,
        max_body_bytes: 100_000,
        header_timeout: '3s',
        idle_timeout: '15s',
      },
    });
    this.#history.configurations.push({
      version: this.#version,
      movedTo,
      atMs: nowMs(),
    });
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
