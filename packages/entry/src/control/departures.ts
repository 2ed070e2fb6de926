/** What is known of upstreams that are leaving, from every source. */

import type {Upstream} from '@wasabidyke/manifest';
import type {Clock} from '@wasabidyke/shared';
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
  readonly #clock: Clock;
  readonly #lapses = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Learns of a departure.
   * @param lapsesInMs How long it is believed without being heard of again.
   * @returns Whether it was not known before.
   */
  add(target: DepartureTarget, lapsesInMs: number): boolean {
    const key = toKey(target);
    const isNew = !this.#isKnown(key);
    const lapsesAtMs = this.#clock.now() + lapsesInMs;
    const known = this.#lapses.get(key) ?? 0;
    this.#lapses.delete(key);
    this.#lapses.set(key, Math.max(known, lapsesAtMs));
    this.#forgetOldest();
    return isNew;
  }

  /** Forgets what has lapsed. Returns whether there was any. */
  sweep(): boolean {
    const nowMs = this.#clock.now();
    let hasLapsed = false;
    for (const [key, lapsesAtMs] of this.#lapses) {
      if (lapsesAtMs <= nowMs) {
        this.#lapses.delete(key);
        hasLapsed = true;
      }
    }
    return hasLapsed;
  }

  isLeaving(service: string, upstream: Upstream): boolean {
    const {name, address, vm} = upstream;
    return (
      upstream.leaving ||
      this.#isKnown(toKey({kind: 'upstream', service, name, address})) ||
      this.#isKnown(toKey({kind: 'vm', name: vm}))
    );
  }

  #isKnown(key: string): boolean {
    const lapsesAtMs = this.#lapses.get(key);
    return lapsesAtMs !== undefined && lapsesAtMs > this.#clock.now();
  }

  #forgetOldest(): void {
    if (this.#lapses.size > MAXIMUM_DEPARTURES) {
      const [oldest] = this.#lapses.keys();
      this.#lapses.delete(oldest);
    }
  }
}

function toKey(target: DepartureTarget): string {
  return target.kind === 'vm'
    ? `vm ${target.name}`
    : `upstream ${target.service} ${target.name} ${target.address}`;
}
