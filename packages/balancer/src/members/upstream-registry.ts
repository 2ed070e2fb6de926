/** The upstreams that may get requests, by service. */

import {
  EntryLists,
  GroupFailureShare,
  rendezvousHash,
  RequestLimit,
  RestPeriod,
  RoundTripEstimate,
  ServiceReach,
  ServiceWarmUp,
  WarmUp,
  type Distance,
  type EntryList,
  type RandomSource,
  type WarmUpConfiguration,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import {AnswerMemory} from '../exchange/answer-memory.js';
import {FormerStarts} from './former-starts.js';
import {UpstreamHandle, type LimitSource} from './upstream-handle.js';
import type {UpstreamRecord} from './upstream-record.js';
import {WarmUpTracker, type WarmUpSource} from './warm-up-tracker.js';

/** Location of this entry, and its distances to other locations. */
export interface Locality {
  readonly region: string;
  readonly zone: string;
  /** The region of each availability zone. */
  readonly regionByZone: Readonly<Record<string, string>>;
  /** Round-trip times by distance, in milliseconds. */
  readonly roundTripsMs: Readonly<Record<Distance, number>>;
}

/** Round-trip times by distance, in milliseconds. Source: one-way latencies of about 1 ms within and 20 ms between regions of the sites. */
export const ROUND_TRIPS_MS: Readonly<Record<Distance, number>> = {
  'same-zone': 0.5,
  'same-region': 2.5,
  'other-region': 41,
};

/** Options of `UpstreamRegistry`. */
export interface UpstreamRegistryOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly locality: Locality;
  readonly protocol: WireProtocol;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Maximum number of connections of this entry to one upstream of a service. */
  readonly connectionLimit: (service: string) => number;
  /** The warm-up of a service by its configuration; undefined if it has none. */
  readonly warmUp: (service: string) => WarmUpConfiguration | undefined;
  /** Called when an upstream counts as cold that did not before. */
  readonly onWarmUp: (handle: UpstreamHandle, source: WarmUpSource) => void;
  /** Called with what an upstream says of its limit, when it changes what is known. */
  readonly onLimit: (handle: UpstreamHandle, source: LimitSource) => void;
  /** Called when an upstream has answered anything. */
  readonly onHeard: (handle: UpstreamHandle) => void;
  /** Called when a connection to an upstream ends that this entry didn't close. */
  readonly onConnectionLost: (handle: UpstreamHandle) => void;
  /** Called when an upstream says in an answer that it is leaving. */
  readonly onLeaving: (record: UpstreamRecord) => void;
  /** Called when an upstream asks for rest. */
  readonly onRest: (record: UpstreamRecord, restMs: number) => void;
  /** Called with the cause when a load query is not answered in time, or can't be sent. */
  readonly onUnresponsive: (record: UpstreamRecord, cause: string) => void;
  /** Called when this entry begins or ceases to doubt that it reaches the upstreams of a service. */
  readonly onReach: (service: string, isDoubtful: boolean) => void;
}

const DISTANCE_RANKS: Readonly<Record<Distance, number>> = {
  'same-zone': 0,
  'same-region': 1,
  'other-region': 2,
};

/** Holds the handles of the upstreams that may get requests. */
export class UpstreamRegistry {
  readonly #options: UpstreamRegistryOptions;
  readonly #handles = new Map<string, UpstreamHandle>();
  readonly #handlesByService = new Map<string, UpstreamHandle[]>();
  /** Memory for answers that are being received. */
  readonly answerMemory = new AnswerMemory();
  readonly #reaches = new Map<string, ServiceReach>();
  /** The entries that are up, this one included. */
  readonly #entries = new EntryLists();
  readonly #serviceWarmUps = new Map<string, ServiceWarmUp>();
  readonly #formerStarts = new FormerStarts();
  readonly #groupFailureShares = new Map<string, GroupFailureShare>();
  readonly #roundTrips = new Map<Distance, RoundTripEstimate>();

  constructor(options: UpstreamRegistryOptions) {
    this.#options = options;
  }

  /** Upstreams of a service, nearest first. */
  list(service: string): readonly UpstreamHandle[] {
    return this.#handlesByService.get(service) ?? [];
  }

  /** Some upstreams of all services, nearest first. */
  listNearest(count: number): readonly UpstreamHandle[] {
    const rankOf = ({statistics}: UpstreamHandle) =>
      DISTANCE_RANKS[statistics.distance];
    return [...this.#handles.values()]
      .sort((left, right) => rankOf(left) - rankOf(right))
      .slice(0, count);
  }

  get size(): number {
    return this.#handles.size;
  }

  /** The upstream with an id; undefined if it gets no requests. */
  find(id: string): UpstreamHandle | undefined {
    return this.#handles.get(id);
  }

  /** Number of entries among which limits are divided. */
  get entryCount(): number {
    return Math.max(1, this.#entries.current.length);
  }

  /** Whether this entry reaches the upstreams of a service. */
  reach(service: string): ServiceReach {
    const known = this.#reaches.get(service);
    if (known !== undefined) {
      return known;
    }
    const reach = new ServiceReach({
      upstreams: () => this.list(service).length,
      onChange: isDoubtful => this.#options.onReach(service, isDoubtful),
    });
    this.#reaches.set(service, reach);
    return reach;
  }

  /** Number of services whose upstreams this entry may not reach. */
  get doubtfulServices(): number {
    return [...this.#reaches.values()].filter(({isDoubtful}) => isDoubtful)
      .length;
  }

  /**
   * Time until the first upstream of a service is back of which all rest, in
   * milliseconds; 0 if one doesn't, or there is none.
   * @param mayUse Whether an upstream counts.
   */
  restRemainingMs(
    service: string,
    mayUse: (handle: UpstreamHandle) => boolean,
  ): number {
    const nowMs = this.#options.clock.now();
    const remaining = this.list(service)
      .filter(mayUse)
      .map(handle => handle.restRemainingMs(nowMs));
    return remaining.length === 0 ? 0 : Math.min(...remaining);
  }

  /** Number of upstreams that rest. */
  get restingCount(): number {
    const nowMs = this.#options.clock.now();
    return [...this.#handles.values()].filter(handle => handle.isResting(nowMs))
      .length;
  }

  /** Number of upstreams that name a limit. */
  get limitedCount(): number {
    return [...this.#handles.values()].filter(
      ({limit}) => limit.requestsPerSecond !== undefined,
    ).length;
  }

  /** Number of upstreams that count as cold. */
  get warmingUpCount(): number {
    const nowMs = this.#options.clock.now();
    return [...this.#handles.values()].filter(({warmUp}) =>
      warmUp.warmUp.isCold(nowMs),
    ).length;
  }

  /** Sets the entries that are up, among which the limits of upstreams are divided. */
  applyEntries(entries: EntryList, nowMs: number): void {
    this.#entries.apply(entries, nowMs);
  }

  /** Whether a service has a warm-up by its configuration. */
  hasWarmUp(service: string): boolean {
    return this.#serviceWarmUps.get(service)?.configuration !== undefined;
  }

  /** Applies the configured warm-ups to the upstreams that are known. */
  applyWarmUps(): void {
    const nowMs = this.#options.clock.now();
    const handles = [...this.#handles.values()];
    const warm = handles.filter(({warmUp}) => !warmUp.warmUp.isCold(nowMs));
    for (const [service, warmUp] of this.#serviceWarmUps) {
      warmUp.configuration = this.#options.warmUp(service);
    }
    for (const handle of warm) {
      if (handle.warmUp.warmUp.isCold(nowMs)) {
        this.#options.onWarmUp(handle, 'configuration');
      }
    }
  }

  /** Called when the evacuation of an availability zone has ended: its upstreams may have become cold meanwhile. */
  onZoneTakenBack(zone: string): void {
    for (const {record, warmUp} of this.#handles.values()) {
      if (record.zone === zone) {
        warmUp.doubt('evacuation');
      }
    }
  }

  /** Failure share of the upstreams of a service in this region, or of those in other regions. */
  groupFailureShare(service: string, distance: Distance): GroupFailureShare {
    const group = distance === 'other-region' ? 'far' : 'near';
    const key = JSON.stringify([service, group]);
    const known = this.#groupFailureShares.get(key);
    if (known !== undefined) {
      return known;
    }
    const groupFailureShare = new GroupFailureShare();
    this.#groupFailureShares.set(key, groupFailureShare);
    return groupFailureShare;
  }

  /** Round trip to the upstreams at a distance. */
  roundTrip(distance: Distance): RoundTripEstimate {
    const known = this.#roundTrips.get(distance);
    if (known !== undefined) {
      return known;
    }
    const {roundTripsMs} = this.#options.locality;
    const roundTrip = new RoundTripEstimate(roundTripsMs[distance]);
    this.#roundTrips.set(distance, roundTrip);
    return roundTrip;
  }

  add(record: UpstreamRecord): void {
    const {locality, protocol, clock, connectionLimit, onUnresponsive} =
      this.#options;
    const distance = distanceTo(record.zone, locality);
    const {entry, random, onLimit, onRest, onLeaving, onHeard} = this.#options;
    const warmUp = new WarmUp(this.#serviceWarmUp(record.service));
    const warmUpTracker = new WarmUpTracker({
      warmUp,
      record,
      protocol,
      clock,
      onBegin: source => this.#options.onWarmUp(handle, source),
    });
    const limit = new RequestLimit({
      upstream: record.id,
      zone: record.zone,
      region: locality.regionByZone[record.zone],
      entry,
      entries: this.#entries,
      warmUp,
      random,
    });
    const handle: UpstreamHandle = new UpstreamHandle({
      record,
      distance,
      roundTrip: this.roundTrip(distance),
      connectionLimit: connectionLimit(record.service),
      groupFailureShare: this.groupFailureShare(record.service, distance),
      reach: this.reach(record.service),
      protocol,
      clock,
      limit,
      warmUp: warmUpTracker,
      rest: new RestPeriod(random),
      answerMemory: this.answerMemory,
      onLimit: source => onLimit(handle, source),
      onHeard: () => onHeard(handle),
      onConnectionLost: cause => {
        // An idle close says nothing of the upstream; one after an answer may be the last sign of a process that ends.
        if (cause === 'broken') {
          warmUpTracker.doubt('connection');
        }
        this.#options.onConnectionLost(handle);
      },
      onRest,
      onLeaving,
      onUnresponsive,
    });
    this.#handles.set(record.id, handle);
    const handles = this.#handlesByService.get(record.service) ?? [];
    handles.push(handle);
    this.#handlesByService.set(record.service, this.#sortByPreference(handles));
    if (warmUp.isCold(clock.now())) {
      this.#options.onWarmUp(handle, 'record');
    }
    if (this.#formerStarts.isRestart(record)) {
      warmUpTracker.doubt('restart');
    }
  }

  #serviceWarmUp(service: string): ServiceWarmUp {
    const known = this.#serviceWarmUps.get(service);
    if (known !== undefined) {
      return known;
    }
    const warmUp = new ServiceWarmUp();
    warmUp.configuration = this.#options.warmUp(service);
    this.#serviceWarmUps.set(service, warmUp);
    return warmUp;
  }

  update(record: UpstreamRecord): void {
    this.#handles.get(record.id)?.applyRecord(record);
  }

  /** Removes an upstream: it gets no new requests. */
  remove(record: UpstreamRecord): void {
    const handle = this.#handles.get(record.id);
    if (handle === undefined) {
      return;
    }
    this.#handles.delete(record.id);
    this.#formerStarts.remember(handle.record);
    const handles = this.list(handle.record.service);
    const others = handles.filter(other => other !== handle);
    this.#handlesByService.set(handle.record.service, others);
    handle.drain();
  }

  /** Closes the connections to all upstreams. */
  close(): void {
    for (const handle of this.#handles.values()) {
      handle.drain();
    }
  }

  /** Sorts nearest first. Upstreams at the same distance are ordered differently for each entry, so that entries prefer different upstreams. */
  #sortByPreference(handles: readonly UpstreamHandle[]): UpstreamHandle[] {
    const {entry} = this.#options;
    const ranked = handles.map(handle => ({
      handle,
      rank: DISTANCE_RANKS[handle.statistics.distance],
      hash: rendezvousHash(entry, handle.id),
    }));
    ranked.sort(
      (left, right) => left.rank - right.rank || left.hash - right.hash,
    );
    return ranked.map(({handle}) => handle);
  }
}

/** Location of the entry that has these settings. */
export function toLocality({
  region,
  zone,
  regionByZone,
}: Pick<Locality, 'region' | 'zone' | 'regionByZone'>): Locality {
  return {region, zone, regionByZone, roundTripsMs: ROUND_TRIPS_MS};
}

/** Returns the distance from this entry to an availability zone. */
export function distanceTo(zone: string, locality: Locality): Distance {
  if (zone === locality.zone) {
    return 'same-zone';
  }
  const region = locality.regionByZone[zone];
  return region === locality.region ? 'same-region' : 'other-region';
}
