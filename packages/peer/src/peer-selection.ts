/** Selects the peers that an entry exchanges with. */

import {groupBy} from './group-by.js';
import type {PeerTarget} from './peer-clients.js';
import type {Replica} from './replica.js';
import type {Member} from './rows.js';

/** A source of random numbers. */
export interface PeerRandom {
  /** Returns an integer from 0 up to, but not including, `bound`. */
  nextBelow(bound: number): number;
}

/** A peer that may exist, for example one from the VM list. */
export type SeedPeer = PeerTarget;

/** Number of entries of a region that exchange with other regions. */
const GATEWAYS_PER_REGION = 2;

/** One in this many exchanges tries a seed, if there is one that is not a known member. */
const EXCHANGES_PER_SEED = 10;

/** Selects the peers that an entry exchanges with. */
export class PeerSelection {
  readonly #replica: Replica;
  readonly #random: PeerRandom;
  readonly #seeds: () => readonly SeedPeer[];
  #remainingAddresses: string[] = [];
  #exchanges = 0;

  constructor(
    replica: Replica,
    random: PeerRandom,
    seeds: () => readonly SeedPeer[],
  ) {
    this.#replica = replica;
    this.#random = random;
    this.#seeds = seeds;
  }

  /** The reachable members of this region. */
  sameRegion(): readonly PeerTarget[] {
    const {region} = this.#replica.self;
    const members = this.#replica.reachable();
    return members.filter(member => member.region === region).map(toTarget);
  }

  /** The reachable members of other regions, by region. */
  otherRegions(): ReadonlyMap<string, readonly PeerTarget[]> {
    const {region} = this.#replica.self;
    const members = this.#replica.reachable();
    const others = members.filter(member => member.region !== region);
    return groupBy(others.map(toTarget), target => target.region);
  }

  /**
   * Returns the next peer of this region to exchange with: round-robin, in an
   * order that is reshuffled for each round, so that each peer gets its turn.
   */
  nextInRegion(): PeerTarget | undefined {
    this.#exchanges += 1;
    const known = this.sameRegion();
    const seeds = this.#unknownSeeds(known, true);
    if (known.length === 0 || this.#exchanges % EXCHANGES_PER_SEED === 0) {
      const seed = this.pick(seeds);
      if (seed !== undefined) {
        return seed;
      }
    }
    return this.#nextRoundRobin(known);
  }

  /** Returns the next peer of another region to exchange with; undefined when this entry is no gateway. */
  nextInOtherRegion(): PeerTarget | undefined {
    if (!this.isGateway()) {
      return undefined;
    }
    const known = [...this.otherRegions().values()].flat();
    const seeds = this.#unknownSeeds(known, false);
    const reached = new Set(known.map(({region}) => region));
    const unreached = seeds.filter(({region}) => !reached.has(region));
    const isSeedDue = this.#exchanges % EXCHANGES_PER_SEED === 0;
    const seed =
      isSeedDue || known.length === 0 ? this.pick(unreached) : undefined;
    return seed ?? this.pick(known);
  }

  /** Whether this entry is one of the first by name among the live entries of its region, as far as known here. */
  isGateway(): boolean {
    const {entry, region} = this.#replica.self;
    const precedingEntries = this.#replica
      .members()
      .filter(
        ({member, health}) => health === 'live' && member.region === region,
      )
      .filter(({member}) => member.state !== 'stopped' && member.entry < entry);
    return precedingEntries.length < GATEWAYS_PER_REGION;
  }

  /** Picks a random item; undefined when there are none. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    return items.length === 0
      ? undefined
      : items[this.#random.nextBelow(items.length)];
  }

  /** Returns up to `count` random items. */
  sample<Item>(items: readonly Item[], count: number): readonly Item[] {
    const rest = [...items];
    for (let index = 0; index < Math.min(count, rest.length); index++) {
      const other = index + this.#random.nextBelow(rest.length - index);
      [rest[index], rest[other]] = [rest[other], rest[index]];
    }
    return rest.slice(0, count);
  }

  #nextRoundRobin(known: readonly PeerTarget[]): PeerTarget | undefined {
    const present = new Map(known.map(target => [target.address, target]));
    for (;;) {
      if (this.#remainingAddresses.length === 0) {
        this.#remainingAddresses = [
          ...this.sample([...present.keys()], present.size),
        ];
      }
      const address = this.#remainingAddresses.pop();
      const target = address === undefined ? undefined : present.get(address);
      if (address === undefined || target !== undefined) {
        return target;
      }
    }
  }

  #unknownSeeds(
    known: readonly PeerTarget[],
    isInOwnRegion: boolean,
  ): readonly SeedPeer[] {
    const {region, peerAddress} = this.#replica.self;
    const addresses = new Set(known.map(({address}) => address));
    return this.#seeds().filter(
      seed =>
        seed.address !== peerAddress &&
        !addresses.has(seed.address) &&
        (seed.region === region) === isInOwnRegion,
    );
  }
}

/** Returns the target for calls to a member. */
export function toTarget(member: Member): PeerTarget {
  return {address: member.peerAddress, region: member.region};
}
