/** The upstreams that may be used now, by service. */

import {createHash} from 'node:crypto';
import {FailureLevel, type Distance} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import {UpstreamHandle} from './upstream-handle.js';
import type {UpstreamRecord} from './upstream-record.js';

/** Where this entry is, and how far other places are. */
export interface Locality {
  readonly region: string;
  readonly zone: string;
  /** The region of each availability zone. */
  readonly regionByZone: Readonly<Record<string, string>>;
  readonly roundTripsMs: Readonly<Record<Distance, number>>;
}

/** What a registry needs. */
export interface UpstreamRegistryOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly locality: Locality;
  readonly protocol: WireProtocol;
  readonly clock: Clock;
  /** Connections that this entry may hold to one upstream of a service. */
  readonly connectionLimit: (service: string) => number;
  /** Told of an upstream that leaves a load query unanswered, and why. */
  readonly onSilent: (record: UpstreamRecord, cause: string) => void;
}

const DISTANCE_RANKS: Readonly<Record<Distance, number>> = {
  'same-zone': 0,
  'same-region': 1,
  'other-region': 2,
};

/** The upstreams that may be used now. */
export class UpstreamRegistry {
  readonly #options: UpstreamRegistryOptions;
  readonly #handles = new Map<string, UpstreamHandle>();
  readonly #byService = new Map<string, UpstreamHandle[]>();
  readonly #failureLevels = new Map<string, FailureLevel>();

  constructor(options: UpstreamRegistryOptions) {
    this.#options = options;
  }

  /** The upstreams of a service. */
  list(service: string): readonly UpstreamHandle[] {
    return this.#byService.get(service) ?? [];
  }

  get size(): number {
    return this.#handles.size;
  }

  /** Failures of the upstreams of a service in this region, or of those in other ones. */
  failureLevel(service: string, distance: Distance): FailureLevel {
    const group = distance === 'other-region' ? 'far' : 'near';
    const key = JSON.stringify([service, group]);
    const known = this.#failureLevels.get(key);
    if (known !== undefined) {
      return known;
    }
    const level = new FailureLevel();
    this.#failureLevels.set(key, level);
    return level;
  }

  add(record: UpstreamRecord): void {
    const distance = this.#distanceTo(record.zone);
    const {locality, protocol, clock, connectionLimit, onSilent} =
      this.#options;
    const handle = new UpstreamHandle({
      record,
      distance,
      roundTripMs: locality.roundTripsMs[distance],
      connectionLimit: connectionLimit(record.service),
      failureLevel: this.failureLevel(record.service, distance),
      protocol,
      clock,
      onSilent,
    });
    this.#handles.set(record.id, handle);
    const handles = this.#byService.get(record.service) ?? [];
    handles.push(handle);
    this.#byService.set(record.service, this.#order(handles));
  }

  update(record: UpstreamRecord): void {
    this.#handles.get(record.id)?.applyRecord(record);
  }

  /** The upstream gets no further requests. */
  remove(record: UpstreamRecord): void {
    const handle = this.#handles.get(record.id);
    if (handle === undefined) {
      return;
    }
    this.#handles.delete(record.id);
    const handles = this.list(handle.record.service);
    const others = handles.filter(other => other !== handle);
    this.#byService.set(handle.record.service, others);
    handle.leave();
  }

  /** Closes the connections to all upstreams. */
  close(): void {
    for (const handle of this.#handles.values()) {
      handle.leave();
    }
  }

  /** Nearest first; upstreams that are as near stand in another order for each entry, so that each has its own first ones. */
  #order(handles: readonly UpstreamHandle[]): UpstreamHandle[] {
    const {entry} = this.#options;
    const ranked = handles.map(handle => ({
      handle,
      rank: DISTANCE_RANKS[handle.outlook.distance],
      weight: toWeight(entry, handle.id),
    }));
    ranked.sort(
      (left, right) => left.rank - right.rank || left.weight - right.weight,
    );
    return ranked.map(({handle}) => handle);
  }

  #distanceTo(zone: string): Distance {
    const {locality} = this.#options;
    if (zone === locality.zone) {
      return 'same-zone';
    }
    const region = locality.regionByZone[zone];
    return region === locality.region ? 'same-region' : 'other-region';
  }
}

const WEIGHT_BYTES = 6;

/** A number that is different for each pair, and always the same for one (rendezvous hashing). */
function toWeight(entry: string, upstream: string): number {
  const hash = createHash('sha1').update(`${entry} ${upstream}`).digest();
  return hash.readUIntBE(0, WEIGHT_BYTES);
}
