/** Which peers an entry talks to. */

import {groupBy} from './group.js';
import type {PeerTarget} from './peer-clients.js';
import type {Replica} from './replica.js';
import type {Member} from './rows.js';

/** A source of random numbers. */
export interface PeerRandom {
  /** A whole number from 0 to below `bound`. */
  nextBelow(bound: number): number;
}

/** A peer that may be there, such as one from the VM list. */
export type SeedPeer = PeerTarget;

/** Entries of a region that exchange with other regions. */
const REGION_GATEWAYS = 2;

/** A seed is tried in place of a known peer once in this many exchanges. */
const SEED_EVERY = 10;

/** Which peers an entry talks to. */
export class PeerSelection {
  readonly #replica: Replica;
  readonly #random: PeerRandom;
  readonly #seeds: () => readonly SeedPeer[];
  #round: string[] = [];
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

  /** The members of this region that can be called. */
  sameRegion(): readonly PeerTarget[] {
    const {region} = this.#replica.self;
    const members = this.#replica.reachable();
    return members.filter(member => member.region === region).map(toTarget);
  }

  /** The members of other regions that can be called, by region. */
  otherRegions(): ReadonlyMap<string, readonly PeerTarget[]> {
    const {region} = this.#replica.self;
    const members = this.#replica.reachable();
    const others = members.filter(member => member.region !== region);
    return groupBy(others.map(toTarget), target => target.region);
  }

  /**
   * The peer of this region to exchange with next: each in turn, in an order
   * shuffled anew for each round, so that none is left out for long.
   */
  nextInRegion(): PeerTarget | undefined {
    this.#exchanges += 1;
    const known = this.sameRegion();
    const seeds = this.#unknownSeeds(known, true);
    if (known.length === 0 || this.#exchanges % SEED_EVERY === 0) {
      const seed = this.pick(seeds);
      if (seed !== undefined) {
        return seed;
      }
    }
    return this.#nextOfRound(known);
  }

  /** The peer of another region to exchange with, where this entry is one of those that do. */
  nextAcross(): PeerTarget | undefined {
    if (!this.isGateway()) {
      return undefined;
    }
    const known = [...this.otherRegions().values()].flat();
    const seeds = this.#unknownSeeds(known, false);
    const reached = new Set(known.map(({region}) => region));
    const unreached = seeds.filter(({region}) => !reached.has(region));
    const isSeedDue = this.#exchanges % SEED_EVERY === 0;
    const seed =
      isSeedDue || known.length === 0 ? this.pick(unreached) : undefined;
    return seed ?? this.pick(known);
  }

  /** Whether this entry is one of the lowest by name of those of its region that it believes to be there. */
  isGateway(): boolean {
    const {entry, region} = this.#replica.self;
    const lower = this.#replica
      .members()
      .filter(
        ({member, health}) => health === 'live' && member.region === region,
      )
      .filter(({member}) => member.state !== 'stopped' && member.entry < entry);
    return lower.length < REGION_GATEWAYS;
  }

  /** One of some, at random. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    return items.length === 0
      ? undefined
      : items[this.#random.nextBelow(items.length)];
  }

  /** Up to `count` of some, at random. */
  sample<Item>(items: readonly Item[], count: number): readonly Item[] {
    const rest = [...items];
    for (let index = 0; index < Math.min(count, rest.length); index++) {
      const other = index + this.#random.nextBelow(rest.length - index);
      [rest[index], rest[other]] = [rest[other], rest[index]];
    }
    return rest.slice(0, count);
  }

  #nextOfRound(known: readonly PeerTarget[]): PeerTarget | undefined {
    const present = new Map(known.map(target => [target.address, target]));
    for (;;) {
      if (this.#round.length === 0) {
        this.#round = [...this.sample([...present.keys()], present.size)];
      }
      const address = this.#round.pop();
      const target = address === undefined ? undefined : present.get(address);
      if (address === undefined || target !== undefined) {
        return target;
      }
    }
  }

  #unknownSeeds(
    known: readonly PeerTarget[],
    isOwnRegion: boolean,
  ): readonly SeedPeer[] {
    const {region, peerAddress} = this.#replica.self;
    const addresses = new Set(known.map(({address}) => address));
    return this.#seeds().filter(
      seed =>
        seed.address !== peerAddress &&
        !addresses.has(seed.address) &&
        (seed.region === region) === isOwnRegion,
    );
  }
}

/** Where a member is called. */
export function toTarget(member: Member): PeerTarget {
  return {address: member.peerAddress, region: member.region};
}
