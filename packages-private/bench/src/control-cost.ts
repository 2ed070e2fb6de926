/**
 * Experiment `control-cost`, the part that entries spend on each other: what one
 * entry's peer task costs, idle and under change, as entries and manifests grow.
 * Each peer is a process of its own. Parsing and applying a manifest, the store,
 * the VM list and the watching of load are not in it.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {createIncarnation} from '@wasabidyke/peer';
import {SECOND_MS} from '@wasabidyke/shared';
import {
  ForkedPeer,
  type PeerProcessEvent,
  type PeerProcessReport,
} from '@wasabidyke/stand-ins';
import {
  describeWindow,
  median,
  SpreadTimes,
  type Readings,
  type WindowFigures,
} from './control-cost-figures.js';

/** What is measured. */
export interface ControlCostSettings {
  readonly seed: number;
  /** Numbers of entries. */
  readonly sizes: readonly number[];
  /** Sizes of a manifest's record, in bytes; the first is used for every number of entries. */
  readonly recordBytes: readonly number[];
  /** Number of entries at which further sizes of a record are measured. */
  readonly recordEntries: number;
  readonly windowMs: number;
  /** Between two changes in a window with changes. */
  readonly changeEveryMs: number;
}

/** The usual settings. */
export const CONTROL_COST_SETTINGS: ControlCostSettings = {
  seed: 1,
  sizes: [1, 12, 24, 48, 96],
  recordBytes: [200_000, 20_000, 600_000],
  recordEntries: 12,
  windowMs: 6 * SECOND_MS,
  changeEveryMs: 1_000,
};

/** What one number of entries with one size of a record cost. */
export interface ControlCostCell {
  readonly entries: number;
  readonly recordBytes: number;
  readonly idle: WindowFigures;
  /** With manifests changing. */
  readonly manifestChanges: WindowFigures;
  /** With departures becoming known. */
  readonly departures: WindowFigures;
  readonly changes: number;
  /** From its acceptance at one entry to being in force at all, in milliseconds. */
  readonly manifestSpreadMs: {readonly median: number; readonly worst: number};
  /** From its being known to one entry to its being known to all, in milliseconds. */
  readonly departureSpreadMs: {readonly median: number; readonly worst: number};
  /** Changes that not all entries heard of within the window. */
  readonly unfinished: number;
}

const REGIONS = ['north', 'east', 'west'];
const JOIN_TIMEOUT_MS = 60 * SECOND_MS;
const SETTLE_MS = 3 * SECOND_MS;
const DEPARTURE_LIFE_MS = 120 * SECOND_MS;
const STARTED_AT_ONCE = 4;
const MAXIMUM_SEEDS = 8;

/** Experiment `control-cost`. */
export class ControlCostExperiment {
  readonly #settings: ControlCostSettings;
  readonly #onProgress: (line: string) => void;

  constructor(
    settings: ControlCostSettings,
    onProgress: (line: string) => void,
  ) {
    this.#settings = settings;
    this.#onProgress = onProgress;
  }

  /** Measures every cell. */
  async run(): Promise<readonly ControlCostCell[]> {
    const {sizes, recordBytes, recordEntries} = this.#settings;
    const [usual, ...others] = recordBytes;
    const planned = [
      ...sizes.map(entries => ({entries, bytes: usual})),
      ...others.map(bytes => ({entries: recordEntries, bytes})),
    ];
    const cells: ControlCostCell[] = [];
    for (const {entries, bytes} of planned) {
      const cell = await this.#measure(entries, bytes).catch((error: Error) =>
        this.#onProgress(`${entries} entries failed: ${error.message}`),
      );
      cells.push(...(cell === undefined ? [] : [cell]));
    }
    return cells;
  }

  async #measure(
    entries: number,
    recordBytes: number,
  ): Promise<ControlCostCell> {
    this.#onProgress(`${entries} entries, record of ${recordBytes} bytes`);
    const times = new SpreadTimes();
    const fleet = new Fleet(this.#settings.seed, recordBytes, (_, event) =>
      times.onEvent(event),
    );
    try {
      await fleet.start(entries);
      await sleep(SETTLE_MS);
      const idle = await this.#window(fleet, () => undefined);
      const changes = Math.floor(
        this.#settings.windowMs / this.#settings.changeEveryMs,
      );
      const manifestChanges = await this.#window(fleet, number =>
        fleet.putInForce(number, times),
      );
      const departures = await this.#window(fleet, number =>
        fleet.publishDeparture(number, times),
      );
      const manifestMs = times.toDurations('revision', entries);
      const departureMs = times.toDurations('departure', entries);
      return {
        entries,
        recordBytes,
        idle,
        manifestChanges,
        departures,
        changes,
        manifestSpreadMs: toSpread(manifestMs),
        departureSpreadMs: toSpread(departureMs),
        unfinished: 2 * changes - manifestMs.length - departureMs.length,
      };
    } finally {
      await fleet.stop();
    }
  }

  async #window(
    fleet: Fleet,
    onChange: (number: number) => void,
  ): Promise<WindowFigures> {
    const {windowMs, changeEveryMs} = this.#settings;
    const before = await fleet.read();
    for (let number = 1; number * changeEveryMs <= windowMs; number++) {
      onChange(number);
      await sleep(changeEveryMs);
    }
    return describeWindow(before, await fleet.read());
  }
}

/** The peer processes of one cell. */
class Fleet {
  readonly #seed: number;
  readonly #record: string;
  readonly #onEvent: (entry: string, event: PeerProcessEvent) => void;
  readonly #peers: ForkedPeer[] = [];

  constructor(
    seed: number,
    recordBytes: number,
    onEvent: (entry: string, event: PeerProcessEvent) => void,
  ) {
    this.#seed = seed;
    this.#record = createRecord(recordBytes);
    this.#onEvent = onEvent;
  }

  /** Starts the processes and waits until all know each other. */
  async start(entries: number): Promise<void> {
    for (let first = 0; first < entries; first += STARTED_AT_ONCE) {
      const seeds = this.#peers
        .slice(0, MAXIMUM_SEEDS)
        .map(peer => peer.target);
      const count = Math.min(STARTED_AT_ONCE, entries - first);
      const peers = Array.from({length: count}, (_, index) =>
        this.#create(first + index),
      );
      this.#peers.push(...peers);
      await Promise.all(peers.map(peer => peer.start(seeds)));
      const targets = this.#peers.slice(0, MAXIMUM_SEEDS);
      for (const peer of peers) {
        peer.tell({kind: 'seeds', seeds: targets.map(({target}) => target)});
        peer.tell({kind: 'join'});
      }
    }
    await this.#waitForAll(entries);
  }

  async read(): Promise<Readings> {
    const reports = await this.#reports();
    return {atMs: performance.now(), reports};
  }

  putInForce(number: number, times: SpreadTimes): void {
    times.start('revision');
    const digest = number.toString(16).padStart(64, '0');
    this.#peers[0].tell({kind: 'revision', revision: number, digest});
  }

  publishDeparture(number: number, times: SpreadTimes): void {
    times.start('departure');
    const target = {kind: 'vm' as const, name: `vm-${number}`};
    const expiresAtMs = Date.now() + DEPARTURE_LIFE_MS;
    const value = {target, source: 'vm-list' as const};
    const draft = {kind: 'departure' as const, value, expiresAtMs};
    this.#peers[0].tell({kind: 'publish', draft});
  }

  async stop(): Promise<void> {
    await Promise.all(this.#peers.map(peer => peer.kill()));
  }

  #reports(): Promise<readonly PeerProcessReport[]> {
    return Promise.all(this.#peers.map(peer => peer.report()));
  }

  async #waitForAll(entries: number): Promise<void> {
    const endsAtMs = performance.now() + JOIN_TIMEOUT_MS;
    while (performance.now() < endsAtMs) {
      const reports = await this.#reports();
      if (reports.every(({live}) => live.length === entries)) {
        return;
      }
      await sleep(SECOND_MS);
    }
    throw new Error(`${entries} entries did not come to know each other.`);
  }

  #create(index: number): ForkedPeer {
    const region = REGIONS[index % REGIONS.length];
    const member = {
      entry: `entry-${String(index).padStart(3, '0')}`,
      incarnation: createIncarnation(),
      callerAddress: `127.0.0.1:${10_000 + index}`,
      region,
      zone: `${region}-a`,
    };
    const seed = this.#seed + index;
    const settings = {member, host: '127.0.0.1', seed, record: this.#record};
    return new ForkedPeer(settings, this.#onEvent);
  }
}

/** Text that looks like a manifest with as many upstreams as fit. */
function createRecord(bytes: number): string {
  const lines: string[] = [];
  for (let length = 0, index = 0; length < bytes; index++) {
    const line = `{"name": "service-${index % 150}-${index}", "address": "10.${index % 7}.${index % 251}.${index % 241}:8080", "region": "${REGIONS[index % 3]}", "zone": "${REGIONS[index % 3]}-a", "vm": "vm-${index * 7919}", "slots": 4, "connections": 200}`;
    lines.push(line);
    length += line.length;
  }
  return lines.join(',\n').slice(0, bytes);
}

function toSpread(durations: readonly number[]): {
  median: number;
  worst: number;
} {
  return {median: median(durations), worst: Math.max(0, ...durations)};
}
