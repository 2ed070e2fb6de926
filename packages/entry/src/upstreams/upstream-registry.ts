/** All upstreams of the manifest in force, kept across changes of the manifest. */

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

/** Where this entry runs. */
export interface Location {
  readonly region: string;
  readonly zone: string;
}

/** An upstream, or every upstream of a VM, that is leaving. */
export interface LeavingPredicate {
  /** Whether the upstream is known to be leaving, from whatever source. */
  isLeaving(service: string, upstream: Upstream): boolean;
}

/** What the registry needs. */
export interface UpstreamRegistryOptions {
  readonly location: Location;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly reporter: Reporter;
  readonly leaving: LeavingPredicate;
}

/** All upstreams of the manifest in force. */
export class UpstreamRegistry {
  readonly #options: UpstreamRegistryOptions;
  readonly #pools = new Map<string, ServicePool>();
  readonly #policies = new Map<string, string>();
  #snapshot: Snapshot | undefined;

  constructor(options: UpstreamRegistryOptions) {
    this.#options = options;
  }

  /** The upstreams of a service. */
  findPool(service: string): ServicePool | undefined {
    return this.#pools.get(service);
  }

  /** Every upstream. */
  get handles(): readonly UpstreamHandle[] {
    return [...this.#pools.values()].flatMap(pool => pool.handles);
  }

  /** Puts a manifest in force. */
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

  /** Looks again at which upstreams are leaving. */
  refreshLeaving(): void {
    for (const service of this.#snapshot?.manifest.services ?? []) {
      const pool = this.#pools.get(service.name);
      for (const handle of pool?.handles ?? []) {
        this.#applyLeaving(service.name, handle);
      }
      pool?.wake();
    }
  }

  /** Closes every connection; requests under way end first. */
  async close(): Promise<void> {
    await Promise.all(this.handles.map(handle => handle.remove()));
  }

  #applyService(service: Service, snapshot: Snapshot): void {
    const pool = this.#pools.get(service.name);
    const isSamePolicy = this.#policies.get(service.name) === service.policy;
    const selection = createSelection(service.policy, this.#options.random);
    const present = pool ?? this.#createPool(service, selection);
    const handles = this.#reconcile(service, present, snapshot);
    present.apply(service, isSamePolicy ? undefined : selection, handles);
    this.#pools.set(service.name, present);
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
    const known = new Map(
      pool.handles.map(handle => [toIdentity(handle.load.upstream), handle]),
    );
    const handles = service.upstreams.map(upstream => {
      const limit = toConnectionLimit(upstream, snapshot);
      const handle = known.get(toIdentity(upstream));
      known.delete(toIdentity(upstream));
      handle?.applyUpstream(upstream, limit);
      return handle ?? this.#addHandle(service, upstream, limit, pool);
    });
    for (const removed of known.values()) {
      void removed.remove();
    }
    return handles;
  }

  #createPool(service: Service, selection: Selection): ServicePool {
    const {random, clock} = this.#options;
    const locality = new LocalityFilter(random);
    return new ServicePool({service, selection, locality, clock});
  }

  /** An upstream that joins others may be cold: its share of the work rises. */
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
      onState: (handle, from, to) => this.#onState(handle, from, to),
    });
  }

  #applyLeaving(service: string, handle: UpstreamHandle): void {
    const {upstream} = handle.load;
    if (this.#options.leaving.isLeaving(service, upstream)) {
      handle.leave();
    } else {
      handle.return();
    }
  }

  #onState(
    handle: UpstreamHandle,
    from: UpstreamState,
    to: UpstreamState,
  ): void {
    const level = to === 'ejected' ? 'warn' : 'info';
    this.#options.reporter.report({
      level,
      code: `upstream.${to}`,
      subject: `${handle.service}/${handle.name}`,
      message: `${handle.address} went from ${from} to ${to}.`,
    });
    if (to === 'probation' || to === 'live') {
      this.#pools.get(handle.service)?.wake();
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
