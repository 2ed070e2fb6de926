/** Every decoder of what others write, a sound example of it, and what must hold for what it takes. */

import assert from 'node:assert/strict';
import {
  checkSchema,
  entryRecordSchema,
  feedSchema,
  limitsSchema,
  opinionSchema,
  parseAnswer,
  parseBalancerSettings,
  parseRequest,
  parseSuspect,
  serializeFeed,
  statementsSchema,
  suspectRecordsSchema,
  toRecordChanges,
  toSuspectKey,
} from '@wasabidyke/balancer';
import {
  parseManifest,
  parseManifestRecord,
  toDigest,
} from '@wasabidyke/manifest';
import {parseSettings} from '@wasabidyke/operator';
import {parseLoadReport} from '@wasabidyke/policy';
import {departureSchema, memberSchema} from '@wasabidyke/peer';
import {PlatformDecoder, PlatformWireProtocol} from '@wasabidyke/platform';
import {parseJson} from '@wasabidyke/shared';
import {parseVmList} from '@wasabidyke/store';
import {GOOD_MANIFEST} from './good-manifest.js';
import {
  departed,
  limit,
  relayed,
  statement,
  suspect,
} from './recorded-messages.js';
import {toEntryRecord, toWorkerRecord} from '@wasabidyke/soak';
import type {Json} from './odd-values.js';

/** A decoder. */
export interface DecoderCase {
  readonly sound: Json;
  /** Decodes a text; undefined if it is refused. */
  readonly decode: (text: string) => unknown;
}

const decoder = new PlatformDecoder();
const protocol = new PlatformWireProtocol();

const route = {
  host: 'shop.example',
  prefix: '/read/',
  kind: 'safe',
  timeout: '1000ms',
  target_latency: '0.2s',
  priority: 1,
  max_attempts: 2,
};

const manifestBody = JSON.stringify(GOOD_MANIFEST);

function bySchema(schema: {
  safeParse(value: unknown): {success: boolean; data?: unknown};
}): (text: string) => unknown {
  return text => schema.safeParse(parseJson(text)).data;
}

/** Headers as HTTP parsers return them: texts, or lists of texts. */
function toHeaders(value: unknown): Record<string, string | string[]> {
  const fields = Object.entries(Object(value) as Record<string, unknown>);
  return Object.fromEntries(
    fields.map(([name, item]) => [
      name,
      Array.isArray(item) ? item.map(toText) : toText(item),
    ]),
  );
}

function toText(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** All decoders, by the name of the message. */
export const DECODERS: Readonly<Record<string, DecoderCase>> = {
  "worker's record": {
    sound: toWorkerRecord() as Json,
    decode: text => {
      const decoded = decoder.decode('servers/w1', Buffer.from(text));
      return decoded.kind === 'upstream' ? decoded.record : undefined;
    },
  },
  configuration: {
    sound: {
      version: '0000000c',
      routes: {
        read: {...route, service: 'shop'},
        split: {
          ...route,
          weighted_services: [{service: 'shop', weight: 90}],
        },
      },
      services: {shop: {health_path: '/health', max_connections: 200}},
      limits: {
        max_header_bytes: 8_192,
        max_body_bytes: 100_000,
        header_timeout: '3s',
        idle_timeout: '15s',
      },
    },
    decode: text => {
      const decoded = decoder.decode('op/config', Buffer.from(text));
      return decoded.kind === 'configuration'
        ? decoded.configuration
        : undefined;
    },
  },
  "entry's record": {
    sound: {...toEntryRecord('entry-1'), sequence: 5} as Json,
    decode: bySchema(entryRecordSchema),
  },
  "suspect's record": {
    sound: suspect,
    decode: text => parseSuspect(toSuspectKey(suspect), Buffer.from(text)),
  },
  'suspects of another entry': {
    sound: [suspect],
    decode: bySchema(suspectRecordsSchema),
  },
  'statements on entries': {
    sound: {statements: [statement]},
    decode: bySchema(statementsSchema),
  },
  'question about an entry': {
    sound: {target: 'entry-1', isReachable: true},
    decode: text =>
      bySchema(checkSchema)(text) ?? bySchema(opinionSchema)(text),
  },
  'limits of another entry': {
    sound: {limits: [limit]},
    decode: bySchema(limitsSchema),
  },
  feed: {
    sound: {
      revision: 7,
      ageMs: 12,
      departures: [departed],
      changes: [{key: 'servers/i-1', value: 'e30=', revision: 7}],
    },
    decode: text => {
      const parsed = feedSchema.safeParse(parseJson(text));
      if (!parsed.success) {
        return undefined;
      }
      const changes = toRecordChanges(parsed.data);
      serializeFeed(changes, parsed.data.ageMs ?? 0);
      return parsed.data;
    },
  },
  'relayed request': {
    sound: relayed,
    decode: text => parseRequest(Buffer.from(`${text}\nbody`))?.request,
  },
  'relayed answer': {
    sound: {upstream: 'i-1', status: 200, headers: {age: '1'}},
    decode: text => {
      const parsed = parseAnswer(Buffer.from(`${text}\nbody`));
      return parsed && {...parsed, status: parsed.answer.status};
    },
  },
  'load report of an upstream': {
    sound: {
      application_utilization: 0.5,
      named_metrics: {requests_in_flight: 3},
    },
    decode: text => parseLoadReport(`JSON ${text}`, 0),
  },
  'settings of a balancer': {
    sound: {
      name: 'entry-1',
      region: 'home',
      zone: 'home-a',
      regionByZone: {'home-a': 'home'},
      listen: {
        callers: '10.0.0.1:1',
        entries: '10.0.0.1:2',
        readiness: '10.0.0.1:3',
        metrics: '10.0.0.1:4',
        feed: '10.0.0.1:5',
      },
      store: {address: '10.0.0.2:1'},
      stopWithin: '6s',
      repeats: {ratio: 0.2, slack: 56, window: '10s'},
      loadQueriesPerSecond: 60,
      transferCosts: {crossZonePerMegabyte: 14, crossRegionPerMegabyte: 60},
      entryListAge: '2s',
    },
    decode: text => parseBalancerSettings(text).unwrapOr(undefined),
  },
  'settings of an entry': {
    sound: {
      name: 'entry-1',
      vm: 'vm-1',
      region: 'north',
      zone: 'north-a',
      callers: {address: '192.0.2.7:8080'},
      peers: {address: '192.0.2.7:8081'},
      operators: {address: '127.0.0.1:8082'},
      platform: {
        kind: 'etcd',
        endpoints: ['http://192.0.2.9:2379'],
        vmList: {url: 'http://192.0.2.9:80/vms'},
      },
    },
    decode: text => parseSettings('entry.jsonc', text).unwrapOr(undefined),
  },
  "member's row": {
    sound: {
      entry: 'entry-1',
      incarnation: '0123456789abcdef',
      state: 'serving',
      callerAddress: '192.0.2.7:8080',
      peerAddress: '192.0.2.7:8081',
      region: 'north',
      zone: 'north-a',
      startedAtMs: 5,
      homes: [],
      heartbeat: 7,
      load: 3,
      revision: 2,
    },
    decode: bySchema(memberSchema),
  },
  "departure's row": {
    sound: {
      target: {
        kind: 'upstream',
        service: 'shop',
        name: 'shop-1',
        address: '192.0.2.9:80',
      },
      source: 'upstream',
    },
    decode: bySchema(departureSchema),
  },
  'list of VMs': {
    sound: {
      vms: [
        {
          name: 'vm-1',
          address: '192.0.2.1',
          region: 'north',
          zone: 'north-a',
          role: 'entry',
          state: 'live',
        },
      ],
    },
    decode: text =>
      parseVmList(text)
        .map(({vms}) =>
          vms.map(vm => ({
            ...vm,
            address: vm.address.includes(':')
              ? `[${vm.address}]:80`
              : `${vm.address}:80`,
          })),
        )
        .unwrapOr(undefined),
  },
  "manifest's record": {
    sound: {
      revision: 3,
      submission: 's-3',
      digest: toDigest(manifestBody),
      body: manifestBody,
      earlier: [{revision: 2, submission: 's-2', digest: toDigest('')}],
    },
    decode: parseManifestRecord,
  },
  manifest: {
    sound: GOOD_MANIFEST as unknown as Json,
    decode: text => parseManifest('manifest.jsonc', text).unwrapOr(undefined),
  },
  'headers of a worker': {
    sound: {
      'wasabidyke-server-load': '3,0,8,100',
      'server-limit': '12.5',
      'server-leaving': '1',
      'retry-after': '2.5',
      'wasabidyke-warmup-remaining-ms': '1500',
      'wasabidyke-instance-id': 'i-1',
      connection: 'keep-alive',
    },
    decode: text => {
      const headers = toHeaders(parseJson(text));
      protocol.classifyAnswer(200, headers, {requestId: 'r', isFirst: true});
      protocol.isLeaving(headers);
      protocol.readUpstreamId(headers);
      return {
        ...protocol.readOccupancy(headers),
        restMs: protocol.readRestMs(503, headers),
        limit: protocol.readLimit(headers),
        warmUpLeftMs: protocol.readWarmUpLeftMs(headers),
      };
    },
  },
};

/** Longest timer of Node.js, in milliseconds; a longer one fires at once. */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

/** Largest number that counts and sums of counts can hold. */
const LARGEST_COUNT = 1e15;

/** Whether a decoded value can be used as its name says: to connect to, to wait for, to count with. */
export function assertUsable(value: unknown, name = ''): void {
  if (Array.isArray(value)) {
    value.forEach(item => assertUsable(item, name));
  } else if (typeof value === 'object' && value !== null) {
    for (const [key, item] of Object.entries(value)) {
      assertUsable(item, key);
    }
  } else if (/^(address|peerAddress|feedAddress|text)$/.test(name)) {
    assertAddress(String(value));
  } else if (typeof value === 'number') {
    assertNumber(value, name);
  }
}

function assertAddress(text: string): void {
  const {port, hostname, pathname} = new URL(`http://${text}`);
  const isWhole = pathname === '/' && hostname !== '';
  assert.ok(isWhole && (port !== '' || text.endsWith(':80')), text);
}

function assertNumber(value: number, name: string): void {
  assert.ok(Number.isFinite(value), `${name} is ${value}`);
  if (/^(sequence|slots|startedAtEpochMs|connections|status)$/.test(name)) {
    assert.ok(Number.isSafeInteger(value + 1) && value >= 0, name);
    assert.ok(value < LARGEST_COUNT, `${name} is ${value}`);
  }
  if (
    /^(timeoutMs|warmUpLeftMs|idleTimeoutMs|restMs|remainingMs|ageMs|stopWithin)$/.test(
      name,
    )
  ) {
    assert.ok(value >= 0 && value <= LONGEST_TIMER_MS, `${name} is ${value}`);
  }
  if (/^(running|waiting|weight|requests)$/.test(name)) {
    assert.ok(value >= 0 && value < LARGEST_COUNT, `${name} is ${value}`);
  }
}
