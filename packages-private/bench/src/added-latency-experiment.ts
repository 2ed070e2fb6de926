/**
 * Experiment `added-latency`: what one entry adds to a call, against the same
 * calls sent directly to the same upstreams. Rounds of both alternate; each
 * round is followed by its counterpart, so that two neighbours make a pair.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {SECOND_MS} from '@wasabidyke/shared';
import {callerResultSchema, type CallerSettings} from './caller-settings.js';
import {ChildGroup, type Child} from './child-process.js';
import {compare, type Ratio} from './comparison.js';
import {
  LatencyRecord,
  round,
  type CurvePoint,
  type LatencyFigures,
} from './latency-record.js';
import {readProcessorMs} from './process-time.js';

/** What is measured. */
export interface AddedLatencySettings {
  readonly seed: number;
  /** Calls a second that are offered, one level after the other. */
  readonly ratesPerSecond: readonly number[];
  /** Pairs at each rate. */
  readonly pairs: number;
  readonly roundMs: number;
  readonly warmUpMs: number;
  /** Caller processes that share the rate. */
  readonly callers: number;
  /** Time that an upstream takes, in milliseconds. */
  readonly serviceMs: number;
}

/** The usual settings. */
export const ADDED_LATENCY_SETTINGS: AddedLatencySettings = {
  seed: 1,
  ratesPerSecond: [250, 500, 1_000, 2_000, 3_000, 4_000],
  pairs: 5,
  roundMs: 2_500,
  warmUpMs: 500,
  callers: 2,
  serviceMs: 2,
};

/** The target: milliseconds added to a call for 99 in 100. */
export const ADDED_LATENCY_TARGET_MS = 1.8;

/** Figures of one way at one rate. */
export interface WayFigures {
  readonly latency: LatencyFigures;
  readonly lateness: LatencyFigures;
  readonly curve: readonly CurvePoint[];
  readonly failed: number;
}

/** Figures at one rate. */
export interface RateFigures {
  readonly ratePerSecond: number;
  readonly direct: WayFigures;
  readonly entry: WayFigures;
  /** Differences of percentiles over all rounds, in milliseconds. */
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  /** Difference of the 99th percentiles in each pair, in milliseconds. */
  readonly addedP99MsOfPairs: readonly number[];
  readonly p99Ratio: Ratio;
  /** Share of one core that the entry used. */
  readonly entryCore: number;
  /** Calls that one core would carry at that cost. */
  readonly callsPerCore: number;
  readonly isTargetMet: boolean;
}

type Way = 'direct' | 'entry';

interface Round {
  readonly latency: LatencyRecord;
  readonly lateness: LatencyRecord;
  readonly failed: number;
  readonly entryCpuMs: number;
}

const NETWORK = `127.${20 + (process.pid % 100)}.7`;
const UPSTREAM_COUNT = 12;
const UPSTREAM_PORT = 18_000;
const ENTRY_CALLERS = `${NETWORK}.101:17000`;
const ENTRY_OPERATORS = `${NETWORK}.101:17001`;
const SLOTS = 200;
const CONNECTIONS = 200;
const CALLER_START_MS = 1_200;
const TIMEOUT_MS = 5_000;

const ENTRY_PROGRAM = new URL(
  'main.js',
  import.meta.resolve('@wasabidyke/entry'),
).pathname;
const UPSTREAM_PROGRAM = new URL(
  'upstream/main.js',
  import.meta.resolve('@wasabidyke/stand-ins'),
).pathname;
const CALLER_PROGRAM = new URL('caller-main.js', import.meta.url).pathname;

/** Experiment `added-latency`. */
export class AddedLatencyExperiment {
  readonly #settings: AddedLatencySettings;
  readonly #onProgress: (line: string) => void;
  readonly #children = new ChildGroup();
  #entry: Child | undefined;

  constructor(
    settings: AddedLatencySettings,
    onProgress: (line: string) => void,
  ) {
    this.#settings = settings;
    this.#onProgress = onProgress;
  }

  /** Measures every rate. */
  async run(): Promise<readonly RateFigures[]> {
    try {
      await this.#startSite();
      await this.#runRound('entry', this.#settings.ratesPerSecond[0]);
      const figures: RateFigures[] = [];
      for (const rate of this.#settings.ratesPerSecond) {
        const measured = await this.#runRate(rate);
        this.#onProgress(describe(measured));
        figures.push(measured);
      }
      return figures;
    } finally {
      await this.#children.stop();
    }
  }

  async #runRate(ratePerSecond: number): Promise<RateFigures> {
    const rounds: Record<Way, Round[]> = {direct: [], entry: []};
    for (let pair = 0; pair < this.#settings.pairs; pair++) {
      const order: readonly Way[] =
        pair % 2 === 0 ? ['direct', 'entry'] : ['entry', 'direct'];
      for (const way of order) {
        rounds[way].push(await this.#runRound(way, ratePerSecond));
      }
    }
    return this.#toFigures(ratePerSecond, rounds);
  }

  async #runRound(way: Way, ratePerSecond: number): Promise<Round> {
    const {callers} = this.#settings;
    const startAtMs = Date.now() + CALLER_START_MS;
    const running = Array.from({length: callers}, (_, index) => {
      const file = this.#children.writeSettings(
        this.#toCaller(way, ratePerSecond / callers, index, startAtMs),
      );
      return this.#children.start(CALLER_PROGRAM, [file]);
    });
    await sleep(CALLER_START_MS + this.#settings.warmUpMs);
    const cpuBeforeMs = readProcessorMs(this.#entry?.pid);
    await sleep(this.#settings.roundMs);
    const entryCpuMs = readProcessorMs(this.#entry?.pid) - cpuBeforeMs;
    const lines = await Promise.all(running.map(child => child.firstLine()));
    return toRound(lines, entryCpuMs);
  }

  #toFigures(
    ratePerSecond: number,
    rounds: Readonly<Record<Way, readonly Round[]>>,
  ): RateFigures {
    const direct = toWayFigures(rounds.direct);
    const entry = toWayFigures(rounds.entry);
    const directP99 = rounds.direct.map(toP99);
    const entryP99 = rounds.entry.map(toP99);
    const cpuMs = rounds.entry.reduce(
      (sum, {entryCpuMs}) => sum + entryCpuMs,
      0,
    );
    const entryCore = cpuMs / (this.#settings.roundMs * rounds.entry.length);
    const addedP99Ms = round(entry.latency.p99Ms - direct.latency.p99Ms);
    return {
      ratePerSecond,
      direct,
      entry,
      addedP50Ms: round(entry.latency.p50Ms - direct.latency.p50Ms),
      addedP99Ms,
      addedP99MsOfPairs: entryP99.map((value, index) =>
        round(value - directP99[index]),
      ),
      p99Ratio: compare(
        [entry.latency.p99Ms, direct.latency.p99Ms],
        entryP99,
        directP99,
      ),
      entryCore: round(entryCore),
      callsPerCore: Math.round(ratePerSecond / entryCore),
      isTargetMet: addedP99Ms <= ADDED_LATENCY_TARGET_MS,
    };
  }

  #toCaller(
    way: Way,
    ratePerSecond: number,
    index: number,
    startAtMs: number,
  ): CallerSettings {
    const {seed, roundMs, warmUpMs} = this.#settings;
    const addresses =
      way === 'entry' ? [ENTRY_CALLERS] : listUpstreams().map(toAddress);
    return {
      seed: seed + index,
      arrivals: 'poisson',
      ratePerSecond,
      startAtMs,
      warmUpMs,
      rounds: 1,
      roundMs,
      timeoutMs: TIMEOUT_MS,
      target: {kind: 'addresses', addresses, path: '/shop/cheese'},
    };
  }

  async #startSite(): Promise<void> {
    const {serviceMs, seed} = this.#settings;
    const workers = listUpstreams().map(({name, address, vm}) => ({
      name,
      address,
      vm,
      service: 'shop',
      slots: SLOTS,
      serviceTime: {meanMs: serviceMs, distribution: 'constant'},
    }));
    const half = workers.length / 2;
    for (const part of [workers.slice(0, half), workers.slice(half)]) {
      const file = this.#children.writeSettings({seed, workers: part});
      const child = this.#children.start(UPSTREAM_PROGRAM, [
        '--settings',
        file,
      ]);
      await child.firstLine();
    }
    const manifestFile = this.#children.writeSettings(createManifest());
    const file = this.#children.writeSettings(
      createEntrySettings(manifestFile),
    );
    this.#entry = this.#children.start(ENTRY_PROGRAM, ['--settings', file]);
    await this.#entry.firstLine();
    await sleep(SECOND_MS);
  }
}

function toRound(lines: readonly string[], entryCpuMs: number): Round {
  const latency = new LatencyRecord();
  const lateness = new LatencyRecord();
  let failed = 0;
  for (const line of lines) {
    for (const part of callerResultSchema.parse(JSON.parse(line)).rounds) {
      latency.add(new LatencyRecord(part.latency));
      lateness.add(new LatencyRecord(part.lateness));
      failed += part.failed + part.refused;
    }
  }
  return {latency, lateness, failed, entryCpuMs};
}

function toWayFigures(rounds: readonly Round[]): WayFigures {
  const latency = new LatencyRecord();
  const lateness = new LatencyRecord();
  for (const part of rounds) {
    latency.add(part.latency);
    lateness.add(part.lateness);
  }
  return {
    latency: latency.toFigures(),
    lateness: lateness.toFigures(),
    curve: latency.toCurve(),
    failed: rounds.reduce((sum, part) => sum + part.failed, 0),
  };
}

function toP99({latency}: Round): number {
  return latency.toFigures().p99Ms;
}

function listUpstreams(): ReadonlyArray<{
  name: string;
  address: string;
  vm: string;
}> {
  return Array.from({length: UPSTREAM_COUNT}, (_, index) => ({
    name: `shop-${index + 1}`,
    address: `${NETWORK}.${index + 1}:${UPSTREAM_PORT}`,
    vm: `vm-${index + 1}`,
  }));
}

function toAddress({address}: {readonly address: string}): string {
  return address;
}

function createManifest(): object {
  const place = {region: 'north', zone: 'north-a'};
  const upstreams = listUpstreams().map(upstream => ({
    ...upstream,
    ...place,
    slots: SLOTS,
    connections: CONNECTIONS,
  }));
  return {
    name: 'added-latency',
    regions: [{name: place.region, zones: [place.zone]}],
    entries: {maximum: 1, listMaximumAgeSeconds: 1},
    loadWatch: {
      preference: 'tail-first',
      requestsPerSecond: 0,
      bytesPerSecond: 0,
      crossRegionBytesPerSecond: 0,
    },
    services: [
      {
        name: 'shop',
        requests: [
          {
            name: 'look',
            methods: ['GET'],
            kind: 'idempotent',
            timeoutMs: TIMEOUT_MS,
            retries: 1,
          },
        ],
        upstreams,
      },
    ],
  };
}

function createEntrySettings(manifestFile: string): object {
  return {
    name: 'entry-1',
    vm: 'vm-entry-1',
    region: 'north',
    zone: 'north-a',
    callers: {address: ENTRY_CALLERS},
    operators: {address: ENTRY_OPERATORS},
    platform: {kind: 'embedded', manifestFile},
  };
}

function describe(figures: RateFigures): string {
  const {ratePerSecond, direct, entry, addedP50Ms, addedP99Ms} = figures;
  const late = Math.max(direct.lateness.p99Ms, entry.lateness.p99Ms);
  return [
    `${ratePerSecond} calls/s:`,
    `added p50 ${addedP50Ms} ms, p99 ${addedP99Ms} ms;`,
    `direct p99 ${direct.latency.p99Ms} ms, entry p99 ${entry.latency.p99Ms} ms;`,
    `entry ${figures.entryCore} core, ${figures.callsPerCore} calls per core;`,
    `lateness p99 ${late} ms, failed ${direct.failed + entry.failed}`,
  ].join(' ');
}
