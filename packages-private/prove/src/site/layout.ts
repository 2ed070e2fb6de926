/** Where the parts of a site stand, and the manifest that describes them. */

import type {Manifest, Upstream} from '@wasabidyke/manifest';

const CALLER_PORT = 8_080;
const PEER_PORT = 8_081;
const OPERATOR_PORT = 8_082;
const WORKER_PORT = 8_083;
const OCTET_VALUES = 250;

/** An entry of the site. */
export interface EntryPlace {
  readonly name: string;
  readonly address: string;
  readonly region: string;
  readonly zone: string;
}

/** A worker of the site. */
export interface WorkerPlace {
  readonly name: string;
  /** Where the worker itself listens. */
  readonly address: string;
  /** Where entries reach it: a link that can be cut. */
  readonly linkAddress: string;
  readonly service: string;
  readonly vm: string;
  readonly region: string;
  readonly zone: string;
}

/** Where the parts of a site stand. */
export interface Layout {
  readonly entries: readonly EntryPlace[];
  readonly workers: readonly WorkerPlace[];
}

/** How long callers may keep a list of entries. */
export const LIST_AGE_SECONDS = 2;

/** Slots of each worker. */
export const WORKER_SLOTS = 4;

const REGIONS = ['north', 'south'] as const;
const ENTRIES_OF_NORTH = 2;

/** Lays a site out on loopback addresses that depend on this process's id. */
export function createLayout(): Layout {
  const high = 1 + (process.pid % OCTET_VALUES);
  const low = 1 + (Math.floor(process.pid / OCTET_VALUES) % OCTET_VALUES);
  const toHost = (last: number) => `127.${high}.${low}.${last}`;
  const entries = ['entry-1', 'entry-2', 'entry-3'].map((name, index) => {
    const region = index < ENTRIES_OF_NORTH ? 'north' : 'south';
    const zone = `${region}-${index === 1 ? 'b' : 'a'}`;
    return {name, address: toHost(10 + index), region, zone};
  });
  const workers = ['shop', 'farm'].flatMap((service, serviceIndex) =>
    [0, 1, 2, 3].map(index => {
      const position = 4 * serviceIndex + index;
      const region = REGIONS[Math.floor(index / 2)];
      const name = `${service}-${index + 1}`;
      return {
        name,
        address: `${toHost(30 + position)}:${WORKER_PORT}`,
        linkAddress: `${toHost(50 + position)}:${WORKER_PORT}`,
        service,
        vm: `vm-${name}`,
        region,
        zone: `${region}-${index % 2 === 0 ? 'a' : 'b'}`,
      };
    }),
  );
  return {entries, workers};
}

/** Address for callers. */
export function toCallerAddress(entry: EntryPlace): string {
  return `${entry.address}:${CALLER_PORT}`;
}

/** Address for other entries. */
export function toPeerAddress(entry: EntryPlace): string {
  return `${entry.address}:${PEER_PORT}`;
}

/** Address for operators. */
export function toOperatorAddress(entry: EntryPlace): string {
  return `${entry.address}:${OPERATOR_PORT}`;
}

/** The first manifest of a site. */
export function createManifest(layout: Layout): Manifest {
  return {
    name: 'prove',
    regions: REGIONS.map(name => ({name, zones: [`${name}-a`, `${name}-b`]})),
    entries: {
      maximum: layout.entries.length,
      listMaximumAgeSeconds: LIST_AGE_SECONDS,
      retryShare: 0.2,
      maximumBodyBytes: 67_108_864,
    },
    loadWatch: {
      preference: 'tail-first',
      requestsPerSecond: 6,
      bytesPerSecond: 12_000,
      crossRegionBytesPerSecond: 4_000,
    },
    services: ['shop', 'farm'].map(name => ({
      name,
      policy: 'hot-cold',
      queueLimit: 64,
      requests: [
        {
          ...createRule('lookup', 'idempotent'),
          methods: ['GET'],
          retries: 2,
          hedge: true,
        },
        {...createRule('order', 'at-most-once'), path: '/orders'},
        {...createRule('upload', 'bulk'), path: '/photos'},
      ],
      upstreams: layout.workers
        .filter(({service}) => service === name)
        .map(toUpstream),
    })),
  };
}

function createRule<Kind extends 'idempotent' | 'at-most-once' | 'bulk'>(
  name: string,
  kind: Kind,
) {
  return {
    name,
    kind,
    methods: ['POST'],
    path: '/',
    timeoutMs: 5_000,
    retries: 0,
    hedge: false,
    priority: 5,
    regions: 'local-first' as const,
  };
}

function toUpstream(worker: WorkerPlace): Upstream {
  const {name, linkAddress: address, region, zone, vm} = worker;
  const connections = 200;
  const slots = WORKER_SLOTS;
  return {name, address, region, zone, vm, slots, connections, leaving: false};
}
