/**
 * The part of `control-cost` that grows with the manifest: a real entry process
 * without callers, by upstreams and services, idle and while manifests change.
 */

import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {KIBIBYTE, SECOND_MS} from '@wasabidyke/shared';
import {request} from 'undici';
import {ChildGroup, type Child} from './child-process.js';
import {readProcessorMs} from './process-time.js';
import {round} from './latency-record.js';

/** How much a manifest describes. */
export interface ManifestSize {
  readonly services: number;
  readonly upstreams: number;
}

/** What one entry spent at one size. */
export interface EntryCostCell extends ManifestSize {
  readonly manifestBytes: number;
  /** Share of one core while nothing changes, in per cent. */
  readonly idleProcessorPercent: number;
  readonly residentMebibytes: number;
  /** Processor time of one change of the manifest, in milliseconds. */
  readonly changeProcessorMs: number;
}

/** Sizes that are measured: today's, two between, and the one aimed for. */
export const MANIFEST_SIZES: readonly ManifestSize[] = [
  {services: 3, upstreams: 36},
  {services: 25, upstreams: 150},
  {services: 75, upstreams: 450},
  {services: 150, upstreams: 900},
];

const SETTLE_MS = 4 * SECOND_MS;
const IDLE_WINDOW_MS = 8 * SECOND_MS;
const CHANGES = 10;
const CHANGE_EVERY_MS = 300;
const PAGE_BYTES = 4 * KIBIBYTE;
const HOSTS = 250;
const PORT = 18_500;
const PLACE = {region: 'north', zone: 'north-a'} as const;
const NETWORK = `127.${130 + (process.pid % 100)}`;
const OPERATORS = `${NETWORK}.250.1:17001`;

const ENTRY_PROGRAM = new URL(
  'main.js',
  import.meta.resolve('@wasabidyke/entry'),
).pathname;

/** Measures one size with a process of its own. */
export async function measureEntryCost(
  size: ManifestSize,
): Promise<EntryCostCell> {
  const children = new ChildGroup();
  try {
    const manifest = createManifest(size, 0);
    const manifestFile = children.writeSettings(manifest);
    const file = children.writeSettings(createSettings(manifestFile));
    const entry = children.start(ENTRY_PROGRAM, ['--settings', file]);
    await entry.firstLine();
    await sleep(SETTLE_MS);
    const idleMs = await measure(entry, () => sleep(IDLE_WINDOW_MS));
    const residentMebibytes = readResidentMebibytes(entry);
    const changingMs = await measure(entry, () => changeManifest(size));
    const idleShareMs = (idleMs / IDLE_WINDOW_MS) * CHANGES * CHANGE_EVERY_MS;
    return {
      ...size,
      manifestBytes: JSON.stringify(manifest).length,
      idleProcessorPercent: round((100 * idleMs) / IDLE_WINDOW_MS),
      residentMebibytes: round(residentMebibytes),
      changeProcessorMs: round((changingMs - idleShareMs) / CHANGES),
    };
  } finally {
    await children.stop();
  }
}

async function measure(
  entry: Child,
  run: () => Promise<unknown>,
): Promise<number> {
  const beforeMs = readProcessorMs(entry.pid);
  await run();
  return readProcessorMs(entry.pid) - beforeMs;
}

async function changeManifest(size: ManifestSize): Promise<void> {
  for (let change = 1; change <= CHANGES; change++) {
    const answer = await request(`http://${OPERATORS}/v1/manifest`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        body: JSON.stringify(createManifest(size, change)),
        basedOn: change,
        submission: `change-${change}`,
      }),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 201) {
      throw new Error(`the entry refused a manifest: ${text}`);
    }
    await sleep(CHANGE_EVERY_MS);
  }
}

function readResidentMebibytes(entry: Child): number {
  const pages = readFileSync(`/proc/${entry.pid}/statm`, 'utf8').split(' ')[1];
  return (Number(pages) * PAGE_BYTES) / KIBIBYTE / KIBIBYTE;
}

function createSettings(manifestFile: string): object {
  return {
    name: 'entry-1',
    vm: 'vm-entry-1',
    ...PLACE,
    callers: {address: `${NETWORK}.250.1:17000`},
    operators: {address: OPERATORS},
    platform: {kind: 'embedded', manifestFile},
  };
}

/** @param change Makes each manifest differ: one upstream after the other is leaving. */
function createManifest(size: ManifestSize, change: number): object {
  const perService = size.upstreams / size.services;
  const services = Array.from({length: size.services}, (_, index) => ({
    name: `service-${index}`,
    requests: [
      {name: 'look', methods: ['GET'], kind: 'idempotent', timeoutMs: 1_000},
      {
        name: 'order',
        methods: ['POST'],
        kind: 'at-most-once',
        timeoutMs: 1_000,
      },
    ],
    upstreams: Array.from({length: perService}, (_unused, position) => {
      const number = index * perService + position;
      return {
        name: `worker-${number}`,
        address: `${NETWORK}.${Math.floor(number / HOSTS)}.${1 + (number % HOSTS)}:${PORT}`,
        ...PLACE,
        vm: `vm-${number}`,
        slots: 4,
        connections: 200,
        leaving: number === change - 1,
      };
    }),
  }));
  return {
    name: 'control-cost',
    regions: [{name: PLACE.region, zones: [PLACE.zone]}],
    entries: {maximum: 100, listMaximumAgeSeconds: 1},
    loadWatch: {
      preference: 'cost-first',
      requestsPerSecond: 0,
      bytesPerSecond: 0,
      crossRegionBytesPerSecond: 0,
    },
    services,
  };
}
