/** One load at entries that admit by value, and a single such entry. */

import assert from 'node:assert/strict';
import {
  RepeatBudget,
  SeededRandom,
  ValueAdmission,
  type DemandQuery,
} from '@wasabidyke/policy';
import {
  isTimely,
  type OverloadOptions,
  type SimulatedRequest,
} from './overload-options.js';
import {OverloadSimulation} from './overload-simulation.js';
import {capacityPerSecond, type SimulatedKind} from './overload-upstream.js';
import {
  LOADS,
  SURGE_FROM_MS,
  SURGE_UNTIL_MS,
  URGENT,
  type Load,
} from './value-loads.js';

/** Seed of the first run. */
export const SEED = 7;
const SECOND_MS = 1_000;

/** Runs of one load, where one leaves too much to chance: at a small site, 0.01 of its few hundred urgent requests; between accounts, 0.03 of the difference. */
const SEVERAL_RUNS = 3;

/** Time in which requests are judged: after the start of the overload, and before those that have no time to be answered. */
export const JUDGED_FROM_MS = 2 * SECOND_MS;
export const JUDGED_UNTIL_MS = 13 * SECOND_MS;
const LENGTH_MS = 14 * SECOND_MS;

/** State of one scenario. */
export class ValueWorld {
  entries = 0;
  load: Load | undefined;
  simulations: OverloadSimulation[] = [];
  admission = new ValueAdmission(new SeededRandom(SEED));
  readonly repeats = new RepeatBudget({
    ratio: 0.2,
    slack: 0,
    windowMs: 10 * SECOND_MS,
    entries: 1,
  });
  failureShare = 0;
  nowMs = 0;
  returnsMs = new Map<number, number[]>();

  /** Upstreams as on the users' sites of that size. */
  get site() {
    return this.entries >= 312
      ? {upstreams: 36, slots: 4}
      : {upstreams: 24, slots: this.entries >= 100 ? 4 : 2};
  }

  get kinds(): readonly SimulatedKind[] {
    assert.ok(this.load);
    return this.load.kinds;
  }

  get capacity(): number {
    const {upstreams, slots} = this.site;
    return capacityPerSecond({slots, kinds: this.kinds}, upstreams);
  }

  play(name: string, manner: OverloadOptions['manner'] = 'value'): void {
    const load = LOADS.get(name);
    assert.ok(load, `no load "${name}"`);
    this.load = load;
    const {upstreams, slots} = this.site;
    const {capacity} = this;
    const {kinds, factor, extra} = load;
    const last = kinds[kinds.length - 1];
    const accountRate = (atMs: number) =>
      (capacity * factor(atMs) * last.share) / (last.accounts ?? 1);
    const options: OverloadOptions = {
      entries: this.entries,
      upstreams,
      slots,
      kinds,
      rate: atMs => capacity * factor(atMs),
      extraRate: extra && (atMs => accountRate(atMs) * extra(atMs)),
      running: () => upstreams,
      lengthMs: last.accounts ? SURGE_UNTIL_MS + 2 * SECOND_MS : LENGTH_MS,
      manner,
      rejectedShare: load.rejectedShare,
      callerRetries: load.callerRetries,
    };
    const runs = this.entries < 100 || last.accounts ? SEVERAL_RUNS : 1;
    this.simulations = Array.from(
      {length: runs},
      (_, run) => new OverloadSimulation(options, SEED + run),
    );
    this.simulations.forEach(simulation => simulation.run());
  }

  /** The requests that are judged. */
  requests(kind?: SimulatedKind): SimulatedRequest[] {
    const all = this.simulations.flatMap(({requests}) => requests);
    return all.filter(
      request =>
        request.startedAtMs >= JUDGED_FROM_MS &&
        request.startedAtMs < JUDGED_UNTIL_MS &&
        (kind === undefined || request.kind === kind),
    );
  }

  /** Share of the most urgent requests that were answered in time. */
  urgentInTime(): number {
    const shares = this.simulations.map(simulation =>
      simulation.timelyShare(JUDGED_FROM_MS, JUDGED_UNTIL_MS, URGENT.name),
    );
    return shares.reduce((sum, share) => sum + share, 0) / shares.length;
  }

  /** Share of the requests in the surge that were answered in time, without those of the account that sends more. */
  othersInTime(): number {
    const [, usual] = this.kinds;
    const asked = this.simulations
      .flatMap(({requests}) => requests)
      .filter(({account}) => account !== `${usual.name}-0`)
      .filter(({startedAtMs}) => startedAtMs >= SURGE_FROM_MS)
      .filter(({startedAtMs}) => startedAtMs < SURGE_UNTIL_MS);
    return asked.filter(isTimely).length / asked.length;
  }

  servedShare(kind?: SimulatedKind): number {
    const asked = this.requests(kind);
    const served = asked.filter(({answeredAtMs}) => answeredAtMs !== undefined);
    return served.length / asked.length;
  }

  /** Credit if the slots of undisturbed upstreams were given to the requests of most value for their work. */
  get attainableCredit(): number {
    const mean = this.kinds.reduce(
      (sum, kind) => sum + kind.share * kind.workMs,
      0,
    );
    const seconds = (JUDGED_UNTIL_MS - JUDGED_FROM_MS) / SECOND_MS;
    let leftMs = this.capacity * mean * seconds * this.simulations.length;
    let credit = 0;
    const density = ({value = 1, workMs}: SimulatedKind) => value / workMs;
    const kinds = [...this.kinds].sort((a, b) => density(b) - density(a));
    for (const kind of kinds) {
      const served = Math.min(this.requests(kind).length, leftMs / kind.workMs);
      leftMs -= served * kind.workMs;
      credit += served * (kind.value ?? 1);
    }
    return credit;
  }

  /** A request before upstreams of which some slots are free. */
  query(priority: number, freeSlots: number, slots: number): DemandQuery {
    return {
      nowMs: this.nowMs,
      priority,
      workMs: 80,
      account: undefined,
      estimateMs: 120,
      freeSlotEstimateMs: 120,
      freeSlots: Math.min(freeSlots, 2),
      slowingSlots: 0,
      targetRemainingMs: 400,
      maximumWaitMs: 50,
      waitedMs: 0,
      considered: {slots, freeSlots},
    };
  }
}

const worlds = new WeakMap<object, ValueWorld>();

/** Returns the state of a scenario by its cucumber world. */
export function toWorld(key: object): ValueWorld {
  const world = worlds.get(key) ?? new ValueWorld();
  worlds.set(key, world);
  return world;
}
