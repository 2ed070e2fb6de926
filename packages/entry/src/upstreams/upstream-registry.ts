/** All upstreams of the manifest in force. Upstreams that a new manifest still lists keep their connections and load. */

import type {Service, Snapshot, Upstream} from '@wasabidyke/manifest';
import {
  createSelection,
  LocalityFilter,
  type Distance,
  type RandomSource,
  type Selection,
} from '@wasabidyke/policy';
import type {Clock, Reporter} from '@wasabidyke/shared';
import {ServicePool} from './service-pool.js';
import {UpstreamHandle, type UpstreamState} from './upstream-handle.js';

/** Region and availability zone of this entry. */
export interface Location {
  readonly region: string;
  readonly zone: string;
}

/** Tells which upstreams are leaving. */
export interface LeavingPredicate {
  /** Whether the upstream is known from any source to be leaving. */
  isLeaving(service: string, upstream: Upstream): boolean;
}

/** Options of `UpstreamRegistry`. */
export interface UpstreamRegistryOptions {
  readonly location: Location;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly reporter: Reporter;
  readonly leaving: LeavingPredicate;
}

/** Keeps one pool of upstreams for each service of the manifest in force. */
export class UpstreamRegistry {
  readonly #options: UpstreamRegistryOptions;
  readonly #pools = new Map<string, ServicePool>();
  readonly #policies = new Map<string, string>();
  #snapshot: Snapshot | undefined;

  constructor(options: UpstreamRegistryOptions) {
    this.#options = options;
  }

  /** The upstream pool of a service; undefined if the manifest doesn't list the service. */
  findPool(service: string): ServicePool | undefined {
    return this.#pools.get(service);
  }

  /** The upstreams of all services. */
  get handles(): readonly UpstreamHandle[] {
    return [...this.#pools.values()].flatMap(pool => pool.handles);
  }

  /** Creates, updates and removes pools and upstreams as the manifest says. */
  apply(snapshot: Snapshot): void {
    this.#snapshot = snapshot;
    const services = new Set(snapshot.manifest.services.map(({name}) => name));
    for (const [name, pool] of this.#pools) {
      if (!services.has(name)) {
        this.#removePool(name, pool);
      }
    }
    for (const service of snapshot.manifest.services) {
      this.#applyService(service, snapshot);
    }
  }

  /** Updates which upstreams are draining, after a change of the known departures. */
  refreshLeaving(): void {
    for (const service of this.#snapshot?.manifest.services ?? []) {
      const pool = this.#pools.get(service.name);
      for (const handle of pool?.handles ?? []) {
        this.#applyLeaving(service.name, handle);
      }
      pool?.serveQueue();
    }
  }

  /** Closes every connection once requests in flight have ended. */
  async close(): Promise<void> {
    await Promise.all(this.handles.map(handle => handle.remove()));
  }

  #applyService(service: Service, snapshot: Snapshot): void {
    const pool = this.#pools.get(service.name);
    const isSamePolicy = this.#policies.get(service.name) === service.policy;
    const selection = createSelection(service.policy, this.#options.random);
    const currentPool = pool ?? this.#createPool(service, selection);
    const handles = this.#reconcile(service, currentPool, snapshot);
    currentPool.apply(service, isSamePolicy ? undefined : selection, handles);
    this.#pools.set(service.name, currentPool);
    this.#policies.set(service.name, service.policy);
    for (const handle of handles) {
      this.#applyLeaving(service.name, handle);
    }
  }

  #reconcile(
    service: Service,
    pool: ServicePool,
    snapshot: Snapshot,
  ): readonly UpstreamHandle[] {
    const previousHandles = new Map(
      pool.handles.map(handle => [toIdentity(handle.load.upstream), handle]),
    );
    const handles = service.upstreams.map(upstream => {
      const limit = toConnectionLimit(upstream, snapshot);
      const handle = previousHandles.get(toIdentity(upstream));
      previousHandles.delete(toIdentity(upstream));
      handle?.applyUpstream(upstream, limit);
      return handle ?? this.#addHandle(service, upstream, limit, pool);
    });
    for (const removed of previousHandles.values()) {
      void removed.remove();
    }
    return handles;
  }

  #createPool(service: Service, selection: Selection): ServicePool {
    const {random, clock} = this.#options;
    const locality = new LocalityFilter(random);
    return new ServicePool({service, selection, locality, clock});
  }

  /** An upstream added to others may not be warmed up yet, so its share of the requests rises gradually. */
  #addHandle(
    service: Service,
    upstream: Upstream,
    connectionLimit: number,
    pool: ServicePool,
  ): UpstreamHandle {
    const handle = this.#createHandle(service, upstream, connectionLimit);
    if (pool.handles.length > 0) {
      handle.load.beginRamp(this.#options.clock.now());
    }
    return handle;
  }

  #createHandle(
    service: Service,
    upstream: Upstream,
    connectionLimit: number,
  ): UpstreamHandle {
    return new UpstreamHandle({
      service: service.name,
      upstream,
      distance: toDistance(upstream, this.#options.location),
      connectionLimit,
      clock: this.#options.clock,
      random: this.#options.random,
      onStateChange: (handle, from, to) =>
        this.#onStateChange(handle, from, to),
    });
  }

  #applyLeaving(service: string, handle: UpstreamHandle): void {
    const {upstream} = handle.load;
    if (this.#options.leaving.isLeaving(service, upstream)) {
      handle.startDraining();
    } else {
      handle.cancelDraining();
    }
  }

  #onStateChange(
    handle: UpstreamHandle,
    from: UpstreamState,
    to: UpstreamState,
  ): void {
    const level = to === 'ejected' ? 'warn' : 'info';
    this.#options.reporter.report({
      level,
      code: `upstream.${to}`,
      subject: `${handle.service}/${handle.name}`,
      message: `Upstream at ${handle.address} changed from ${from} to ${to}.`,
    });
    if (to === 'probation' || to === 'live') {
      this.#pools.get(handle.service)?.serveQueue();
    }
  }

  #removePool(name: string, pool: ServicePool): void {
    this.#pools.delete(name);
    this.#policies.delete(name);
    for (const handle of pool.handles) {
      void handle.remove();
    }
  }
}

function toIdentity(upstream: Upstream): string {
  return `${upstream.name} ${upstream.address} ${upstream.region}/${upstream.zone}`;
}

function toConnectionLimit(upstream: Upstream, snapshot: Snapshot): number {
  const {maximum} = snapshot.manifest.entries;
  return Math.max(1, Math.floor(upstream.connections / maximum));
}

function toDistance(upstream: Upstream, location: Location): Distance {
  if (upstream.region !== location.region) {
    return 'other-region';
  }
  return upstream.zone === location.zone ? 'same-zone' : 'same-region';
}
