/** Learns that upstreams are leaving, acts on it at once and tells the other entries. */

import type {Vm} from '@wasabidyke/store';
import type {Reporter} from '@wasabidyke/shared';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {Departures, DepartureTarget} from './departures.js';

/** How a departure became known. */
export type DepartureSource = 'vm-list' | 'upstream' | 'entry';

/** Tells other entries of departures. */
export abstract class DeparturePublisher {
  abstract publishDeparture(
    target: DepartureTarget,
    source: DepartureSource,
  ): void;
}

/** What the tracker needs. */
export interface DepartureTrackerOptions {
  readonly departures: Departures;
  readonly registry: UpstreamRegistry;
  readonly publisher: DeparturePublisher;
  readonly reporter: Reporter;
}

/** Learns of departures. */
export class DepartureTracker {
  readonly #options: DepartureTrackerOptions;

  constructor(options: DepartureTrackerOptions) {
    this.#options = options;
  }

  /** An upstream said that it is leaving. */
  onSignal(handle: UpstreamHandle): void {
    this.#learn(toTarget(handle), 'upstream');
  }

  /** An upstream that had said so answers again without saying so. */
  onReturn(handle: UpstreamHandle): void {
    if (this.#options.departures.remove(toTarget(handle))) {
      this.#options.registry.refreshLeaving();
    }
  }

  /** Another entry told of a departure. */
  onTold(target: DepartureTarget): void {
    this.#learn(target, 'entry');
  }

  /** The list of VMs was read. */
  onVms(vms: readonly Vm[]): void {
    for (const vm of vms) {
      const target: DepartureTarget = {kind: 'vm', name: vm.name};
      if (vm.role === 'upstream' && vm.state === 'leaving') {
        this.#learn(target, 'vm-list');
      }
    }
  }

  /** Tells again of every departure, for entries that have joined since. */
  publishAll(): void {
    const {departures, publisher} = this.#options;
    for (const target of departures.targets) {
      publisher.publishDeparture(target, 'entry');
    }
  }

  #learn(target: DepartureTarget, source: DepartureSource): void {
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
      message: `Known from ${source}; it gets no new work.`,
    });
  }
}

function toTarget(handle: UpstreamHandle): DepartureTarget {
  const {service, name, address} = handle;
  return {kind: 'upstream', service, name, address};
}
