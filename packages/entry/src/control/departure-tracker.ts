/** Collects departures of upstreams from all sources, applies them at once and publishes them to other entries. */

import type {Vm} from '@wasabidyke/store';
import type {Reporter} from '@wasabidyke/shared';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {Departures, DepartureTarget} from './departures.js';

/** Where a departure was learned from. `entry` stands for another entry. */
export type DepartureSource = 'vm-list' | 'upstream' | 'entry';

/** Publishes departures to other entries. */
export abstract class DeparturePublisher {
  abstract publishDeparture(
    target: DepartureTarget,
    source: DepartureSource,
  ): void;
}

/** Options of `DepartureTracker`. */
export interface DepartureTrackerOptions {
  readonly departures: Departures;
  readonly registry: UpstreamRegistry;
  readonly publisher: DeparturePublisher;
  readonly reporter: Reporter;
}

/** Records departures and drains the upstreams that are leaving. */
export class DepartureTracker {
  readonly #options: DepartureTrackerOptions;

  constructor(options: DepartureTrackerOptions) {
    this.#options = options;
  }

  /** Called when an upstream's answer announces that it is leaving. */
  onLeavingSignal(handle: UpstreamHandle): void {
    this.#addDeparture(toTarget(handle), 'upstream');
  }

  /** Called when an upstream that announced its departure answers without the announcement. */
  onLeavingCancelled(handle: UpstreamHandle): void {
    if (this.#options.departures.remove(toTarget(handle))) {
      this.#options.registry.refreshLeaving();
    }
  }

  /** Called when another entry has published a departure. */
  onPeerDeparture(target: DepartureTarget): void {
    this.#addDeparture(target, 'entry');
  }

  /** Called with each VM list that was read. */
  onVms(vms: readonly Vm[]): void {
    for (const vm of vms) {
      const target: DepartureTarget = {kind: 'vm', name: vm.name};
      if (vm.role === 'upstream' && vm.state === 'leaving') {
        this.#addDeparture(target, 'vm-list');
      }
    }
  }

  /** Publishes every known departure again, for entries that have joined since. */
  republishAll(): void {
    const {departures, publisher} = this.#options;
    for (const target of departures.targets) {
      publisher.publishDeparture(target, 'entry');
    }
  }

  #addDeparture(target: DepartureTarget, source: DepartureSource): void {
    const {departures, registry, publisher, reporter} = this.#options;
    if (!departures.add(target)) {
      return;
    }
    registry.refreshLeaving();
    if (source !== 'entry') {
      publisher.publishDeparture(target, source);
    }
    reporter.report({
      level: 'info',
      code: 'departure.known',
      subject: target.name,
      message: `Departure learned from ${source}; no new requests are sent there.`,
    });
  }
}

function toTarget(handle: UpstreamHandle): DepartureTarget {
  const {service, name, address} = handle;
  return {kind: 'upstream', service, name, address};
}
