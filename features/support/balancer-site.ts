/** Balancers in this process, with a store in memory and scripted workers. */

import {request as sendRequest, type IncomingHttpHeaders} from 'node:http';
import {Balancer, parseBalancerSettings} from '@wasabidyke/balancer';
import {
  PlatformDiscoveryProtocol,
  PlatformWireProtocol,
} from '@wasabidyke/platform';
import {findFreePorts} from '@wasabidyke/stand-ins';
import {EntryLinks} from './entry-links.js';
import {eventually} from './eventually.js';
import {EntryLog, MemoryLog} from './memory-log.js';
import {MemoryRecordStore} from './memory-record-store.js';
import {ScriptedWorker} from './scripted-worker.js';

/** What a caller got. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly tookMs: number;
}

/** What a caller sends. */
export interface CallerRequest {
  readonly path: string;
  readonly method?: string;
  readonly body?: string;
  readonly id?: string;
  readonly deadlineMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Index of the entry that it is sent to; the first one unless stated. */
  readonly entry?: number;
  /** Loopback address of the caller. */
  readonly from?: string;
  /** Time after which the caller closes its connection, in milliseconds; its answer has the status 0 then. */
  readonly leavesAfterMs?: number;
}

/** An entry of the site. */
interface SiteEntry {
  readonly balancer: Balancer;
  /** Ports for callers, for lists of entries, for readiness and metrics, and for followers. */
  readonly ports: readonly number[];
  readonly links: EntryLinks;
}

const HOST = 'shop.example';

/** The region of each availability zone. */
const REGION_BY_ZONE: Readonly<Record<string, string>> = {
  'home-a': 'home',
  'home-b': 'home',
  'away-a': 'away',
  'far-a': 'far',
};

/** What the routes of the configuration let a caller wait, in milliseconds. */
export const ROUTE_TIMEOUT_MS = 1_000;

/** The site. */
export class BalancerSite {
  readonly store = new MemoryRecordStore();
  readonly log = new MemoryLog();
  readonly workers: ScriptedWorker[] = [];
  /** Whether a worker that was crashed is back under its former id. */
  keepsIds = true;
  /** Further properties of the service in the configuration. */
  service: object = {};
  /** Limit of the bodies of requests, in bytes. */
  maximumBodyBytes = 100_000;
  /** Regions that the routes of the next configuration allow; empty if they allow all. */
  allowedRegions: readonly string[] = [];
  readonly #zones = new Map<ScriptedWorker, string>();
  /** Client accounts by name, as operators write them; undefined if there are none. */
  accounts: object | undefined;
  readonly #hasLinks: boolean;
  #entries: SiteEntry[] = [];
  readonly #records = new Map<string, object>();
  #started = 0;
  #version = 1;
  #sent = 0;

  /** @param hasLinks Whether each entry has links of its own to the workers. */
  constructor(hasLinks = false) {
    this.#hasLinks = hasLinks;
  }

  /** Starts the first entry; it waits for its configuration. */
  start(): Promise<void> {
    return this.addEntry();
  }

  /** The first entry. */
  get balancer(): Balancer | undefined {
    return this.#entries[0]?.balancer;
  }

  /** Number of entries that run. */
  get entries(): number {
    return this.#entries.length;
  }

  /** Version of the configuration that was written last. */
  get version(): number {
    return this.#version;
  }

  /** Where callers reach the entries that run. */
  get addresses(): readonly string[] {
    return this.#entries.map(({ports}) => `127.0.0.1:${ports[0]}`);
  }

  /** The links of an entry to the workers. */
  linksOf(entry: number): EntryLinks {
    return this.#entries[entry].links;
  }

  /** Where another entry reaches an entry. */
  feedPortOf(entry: number): number {
    return this.#entries[entry].ports[3];
  }

  /** A port of an entry: for callers, for lists of entries, for readiness and metrics, for followers. */
  portOf(entry: number, index: number): number {
    return this.#entries[entry].ports[index];
  }

  /** Stops the entry that was started last; it counts no longer. */
  async stopLastEntry(): Promise<void> {
    await this.#entries.pop()?.balancer.stop();
  }

  /** Starts an entry. */
  async addEntry(zone = 'home-a', region = 'home'): Promise<void> {
    const ports = await findFreePorts(4);
    const [callers, entries, metrics, feed] = ports;
    this.#started += 1;
    const settings = parseBalancerSettings(
      JSON.stringify({
        name: `entry-${this.#started}`,
        region: REGION_BY_ZONE[zone] ?? region,
        zone,
        regionByZone: REGION_BY_ZONE,
        listen: {
          callers: `127.0.0.1:${callers}`,
          entries: `127.0.0.1:${entries}`,
          readiness: `127.0.0.1:${metrics}`,
          metrics: `127.0.0.1:${metrics}`,
          feed: `127.0.0.1:${feed}`,
        },
        store: {address: '127.0.0.1:1'},
        stopWithin: '1500ms',
        repeats: {ratio: 0.2, slack: 20, window: '10s'},
        loadQueriesPerSecond: 600,
        transferCosts: {crossZonePerMegabyte: 14, crossRegionPerMegabyte: 60},
        entryListAge: '2s',
      }),
    ).unwrap();
    const links = new EntryLinks();
    if (this.#hasLinks) {
      await Promise.all(this.workers.map(worker => links.add(worker.address)));
    }
    const balancer = new Balancer(
      settings,
      {
        store: this.store,
        decoder: links.decoder,
        wireProtocol: new PlatformWireProtocol(),
        discoveryProtocol: new PlatformDiscoveryProtocol(),
      },
      new EntryLog(settings.name, this.log),
    );
    this.#entries.push({balancer, ports, links});
    await balancer.start();
  }

  /** Ends all entries and starts as many new ones, which know only what the store holds. */
  async replaceEntries(): Promise<void> {
    const ended = this.#entries;
    this.#entries = [];
    await Promise.all(ended.map(({balancer}) => balancer.stop()));
    for (let count = 0; count < ended.length; count++) {
      await this.addEntry();
    }
  }

  /** Writes a configuration; idempotent requests go to `/read/`, others to `/write/`. */
  configure(
    changes: object = {},
    attempts = 2,
    timeoutMs = ROUTE_TIMEOUT_MS,
  ): void {
    this.#version += 1;
    const route = {
      host: HOST,
      timeout: `${timeoutMs}ms`,
      target_latency: '200ms',
      priority: 1,
      max_attempts: attempts,
      service: 'shop',
      allowed_regions: this.allowedRegions,
    };
    this.store.set('op/config', {
      version: this.#version.toString(16).padStart(8, '0'),
      routes: {
        read: {...route, prefix: '/read/', kind: 'safe'},
        write: {...route, prefix: '/write/', kind: 'unsafe'},
        ...changes,
      },
      tenants: this.accounts,
      services: {
        shop: {health_path: '/load', max_connections: 200, ...this.service},
      },
      limits: {
        max_header_bytes: 8192,
        max_body_bytes: this.maximumBodyBytes,
        header_timeout: '3000ms',
        idle_timeout: '15000ms',
      },
    });
  }

  /** Starts a worker and announces it. */
  async addWorker(
    id: string,
    zone = 'home-a',
    status: object = {},
  ): Promise<ScriptedWorker> {
    const worker = new ScriptedWorker(id);
    this.#zones.set(worker, zone);
    await worker.listen();
    this.workers.push(worker);
    if (this.#hasLinks) {
      await Promise.all(
        this.#entries.map(({links}) => links.add(worker.address)),
      );
    }
    this.announce(worker, status);
    let starts = 1;
    worker.onRestart = () => {
      starts += 1;
      if (!this.keepsIds) {
        this.store.set(`servers/${worker.id}`, undefined);
        worker.id = `${id}-${starts}`;
      }
      this.announce(worker, {}, starts);
    };
    return worker;
  }

  /** Announces a worker, with changes to what it says. */
  announce(worker: ScriptedWorker, status: object, born = 1): void {
    this.#sent += 1;
    const record = {
      address: worker.address,
      born,
      info: {
        service: 'shop',
        version: 'v1',
        zone: this.#zones.get(worker),
        slots: 4,
      },
      status: {state: 'ready', seq: this.#sent, warmup_left: '0ms', ...status},
    };
    this.#records.set(worker.id, record);
    this.store.set(`servers/${worker.id}`, record);
  }

  /** Writes the announcement of a worker again as it was. */
  announceAgain(id: string): void {
    this.store.set(`servers/${id}`, this.#records.get(id));
  }

  findWorker(id: string): ScriptedWorker {
    const worker = this.workers.find(candidate => candidate.id === id);
    if (worker === undefined) {
      throw new Error(`no worker ${id}`);
    }
    return worker;
  }

  get callerPort(): number {
    return this.#entries[0].ports[0];
  }

  /** Waits until every entry is ready. */
  async ready(): Promise<void> {
    for (let entry = 0; entry < this.entries; entry++) {
      await eventually('it is ready', async () => {
        const {status} = await this.get(2, '/-/ready', entry);
        return status === 200;
      });
    }
  }

  /** Waits until every entry uses the workers that are announced. */
  async settle(): Promise<void> {
    const announced = this.store.keys.filter(key => key.startsWith('servers/'));
    for (let entry = 0; entry < this.entries; entry++) {
      await eventually('the workers are known', async () => {
        const {body} = await this.get(2, '/metrics', entry);
        const known = /^wasabidyke_upstreams (\d+)$/m.exec(body)?.[1];
        return Number(known) === announced.length;
      });
    }
  }

  /** Sends a caller's request. */
  async call(request: CallerRequest): Promise<CallerAnswer> {
    this.#sent += 1;
    const headers = {
      ...request.headers,
      host: HOST,
      'wasabidyke-attempt-id': request.id ?? `request-${this.#sent}`,
      'wasabidyke-request-deadline-ms': String(request.deadlineMs ?? 3_000),
    };
    const port = this.#entries[request.entry ?? 0].ports[0];
    return send(port, request, headers);
  }

  /** Asks a question at one of an entry's ports: 1 names entries, 2 tells readiness and metrics. */
  get(port: 1 | 2, path: string, entry = 0): Promise<CallerAnswer> {
    return send(this.#entries[entry].ports[port], {path}, {});
  }

  async close(): Promise<void> {
    await Promise.all(this.#entries.map(({balancer}) => balancer.stop()));
    this.#entries.forEach(({links}) => links.close());
    for (const worker of this.workers) {
      worker.close();
    }
  }
}

function send(
  port: number,
  {path, method = 'GET', body, from, leavesAfterMs}: CallerRequest,
  headers: Record<string, string>,
): Promise<CallerAnswer> {
  const startMs = performance.now();
  return new Promise((resolve, reject) => {
    const request = sendRequest(
      {
        host: '127.0.0.1',
        localAddress: from,
        port,
        path,
        method,
        headers,
        agent: false,
      },
      response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString('latin1'),
            tookMs: performance.now() - startMs,
          }),
        );
      },
    );
    request.on('error', reject);
    request.end(body);
    if (leavesAfterMs !== undefined) {
      const leave = () => {
        const tookMs = performance.now() - startMs;
        resolve({status: 0, headers: {}, body: '', tookMs});
        request.destroy();
      };
      const timer = setTimeout(leave, leavesAfterMs);
      request.once('close', () => clearTimeout(timer));
    }
  });
}
