/** What is known of upstreams that are leaving, from every source. */

import type {Upstream} from '@wasabidyke/manifest';
import type {LeavingPredicate} from '../upstreams/upstream-registry.js';

/** An upstream, or everything on a VM, that is leaving. */
export type DepartureTarget =
  | {
      readonly kind: 'upstream';
      readonly service: string;
      readonly name: string;
      readonly address: string;
    }
  | {readonly kind: 'vm'; readonly name: string};

/** Departures remembered at most; the oldest is forgotten first. */
const MAXIMUM_DEPARTURES = 10_000;

/** What is known of upstreams that are leaving. */
export class Departures implements LeavingPredicate {
  readonly #targets = new Map<string, DepartureTarget>();

  /** Every departure known. */
  get targets(): readonly DepartureTarget[] {
    return [...this.#targets.values()];
  }

  /** Learns of a departure. Returns whether it was not known before. */
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

  /** Learns that a departure is over. Returns whether it was known. */
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
