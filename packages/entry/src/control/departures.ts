/** The known departures of upstreams, from every source. */

import type {Upstream} from '@wasabidyke/manifest';
import type {LeavingPredicate} from '../upstreams/upstream-registry.js';

/** An upstream that is leaving, or a VM that is leaving with every upstream on it. */
export type DepartureTarget =
  | {
      readonly kind: 'upstream';
      readonly service: string;
      readonly name: string;
      readonly address: string;
    }
  | {readonly kind: 'vm'; readonly name: string};

/** Maximum number of departures kept; the oldest is dropped first. */
const MAXIMUM_DEPARTURES = 10_000;

/** Set of the known departures. */
export class Departures implements LeavingPredicate {
  readonly #targets = new Map<string, DepartureTarget>();

  /** All known departures, oldest first. */
  get targets(): readonly DepartureTarget[] {
    return [...this.#targets.values()];
  }

  /** Adds a departure. Returns whether it is new. */
  add(target: DepartureTarget): boolean {
    const key = toKey(target);
    if (this.#targets.has(key)) {
      return false;
    }
    this.#targets.set(key, target);
    if (this.#targets.size > MAXIMUM_DEPARTURES) {
      const [oldest] = this.#targets.keys();
      this.#targets.delete(oldest);
    }
    return true;
  }

  /** Removes a departure that was cancelled. Returns whether it was known. */
  remove(target: DepartureTarget): boolean {
    return this.#targets.delete(toKey(target));
  }

  isLeaving(service: string, upstream: Upstream): boolean {
    const {name, address, vm} = upstream;
    return (
      upstream.leaving ||
      this.#targets.has(toKey({kind: 'upstream', service, name, address})) ||
      this.#targets.has(toKey({kind: 'vm', name: vm}))
    );
  }
}

function toKey(target: DepartureTarget): string {
  return target.kind === 'vm'
    ? `vm ${target.name}`
    : `upstream ${target.service} ${target.name} ${target.address}`;
}
