/** A small site of real processes: platform, entries and upstreams. */

import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {StandInProcess} from './stand-in-process.js';

const CALLER_PORT = 8080;
const PEER_PORT = 8081;
const OPERATOR_PORT = 8082;
const UPSTREAM_PORT = 9001;

const ENTRY_PROGRAM = fileURLToPath(
  new URL('../../../packages/entry/dist/main.js', import.meta.url),
);
const UPSTREAM_PROGRAM = fileURLToPath(
  new URL(
    '../../../packages-private/stand-ins/dist/upstream/main.js',
    import.meta.url,
  ),
);

let sites = 0;

/** Names of the availability zones of the site. */
const ZONES = ['north-a', 'north-b'] as const;

/** An entry of the site. */
export interface SiteEntry {
  readonly name: string;
  readonly callers: string;
  readonly operators: string;
}

/** A site of processes on loopback addresses of its own. */
export class Site {
  readonly entries: readonly SiteEntry[];
  readonly #directory = mkdtempSync(join(tmpdir(), 'wasabidyke-site-'));
  readonly #processes: StandInProcess[] = [];
  readonly #network: string;
  #upstreams: StandInProcess | undefined;
  #entryProcesses: readonly StandInProcess[] = [];

  private constructor(entryCount: number) {
    sites += 1;
    this.#network = `127.${1 + (process.pid % 250)}.${(process.pid >> 8) % 250}`;
    this.entries = Array.from({length: entryCount}, (_, index) => {
      const host = `${this.#network}.${sites * 20 + index + 1}`;
      return {
        name: `entry-${index + 1}`,
        callers: `${host}:${CALLER_PORT}`,
        operators: `${host}:${OPERATOR_PORT}`,
      };
    });
  }

  /** Starts every process of the site. @param settings Settings of the entries beside those that they need. */
  static async start(entryCount: number, settings: object = {}): Promise<Site> {
    const site = new Site(entryCount);
    await site.#startAll(settings);
    return site;
  }

  /** The manifest that describes the site. */
  get manifest(): object {
    return {
      name: 'site',
      regions: [{name: 'north', zones: ZONES}],
      entries: {maximum: 4, listMaximumAgeSeconds: 1},
      loadWatch: {
        preference: 'tail-first',
        requestsPerSecond: 20,
        bytesPerSecond: 40_000,
        crossRegionBytesPerSecond: 0,
      },
      services: [
        {
          name: 'shop',
          requests: [
            {
              name: 'look',
              methods: ['GET', 'HEAD'],
              kind: 'idempotent',
              timeoutMs: 5_000,
              retries: 2,
              hedge: true,
            },
            {
              name: 'order',
              methods: ['POST'],
              path: '/orders',
              kind: 'at-most-once',
              timeoutMs: 5_000,
            },
            {name: 'photo', methods: ['PUT'], kind: 'bulk', timeoutMs: 60_000},
          ],
          upstreams: this.#listUpstreams(),
        },
      ],
    };
  }

  /** Changes an upstream, as the control port of its stand-in takes it. */
  async changeUpstream(worker: string, change: object): Promise<void> {
    await this.#upstreams?.control('POST', '/change', {
      workers: [worker],
      ...change,
    });
  }

  /** Tells an entry to stop, and kills it after a time. Resolves with the exit status, null if it had to be killed. */
  async stopEntry(index: number, withinMs: number): Promise<number | null> {
    const {child} = this.#entryProcesses[index];
    const timer = setTimeout(() => child.kill('SIGKILL'), withinMs);
    child.kill('SIGTERM');
    const [status] = (await once(child, 'exit')) as [number | null];
    clearTimeout(timer);
    return status;
  }

  /** Ends every process. */
  async stop(): Promise<void> {
    await Promise.all(this.#processes.map(process => process.stop()));
    rmSync(this.#directory, {recursive: true, force: true});
  }

  async #startAll(settings: object): Promise<void> {
    const store = await this.#track(StandInProcess.start('store'));
    const vmList = await this.#track(StandInProcess.start('vm-list'));
    await vmList.control('PUT', '/vms', {vms: this.#listVms()});
    const workers = this.#listUpstreams().map(({name, address, vm}) => ({
      name,
      address,
      vm,
      service: 'shop',
    }));
    const upstreams = {workers};
    this.#upstreams = await this.#startProgram(
      UPSTREAM_PROGRAM,
      'upstreams',
      upstreams,
    );
    const platform = {
      kind: 'etcd',
      endpoints: [store.origin],
      vmList: {url: `${vmList.origin}/vms`},
    };
    const starting = this.entries.map((entry, index) =>
      this.#startProgram(ENTRY_PROGRAM, entry.name, {
        ...toSettings(entry, index, platform),
        ...settings,
      }),
    );
    this.#entryProcesses = await Promise.all(starting);
  }

  async #startProgram(
    program: string,
    name: string,
    settings: object,
  ): Promise<StandInProcess> {
    const file = join(this.#directory, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    return this.#track(
      StandInProcess.startProgram(program, ['--settings', file]),
    );
  }

  async #track(starting: Promise<StandInProcess>): Promise<StandInProcess> {
    const started = await starting;
    this.#processes.push(started);
    return started;
  }

  #listVms(): readonly object[] {
    return this.entries.map((entry, index) => ({
      name: `vm-${entry.name}`,
      address: entry.callers.replace(/:\d+$/, ''),
      region: 'north',
      zone: ZONES[index % ZONES.length],
      role: 'entry',
      state: 'live',
    }));
  }

  #listUpstreams(): ReadonlyArray<{name: string; address: string; vm: string}> {
    return ZONES.map((zone, index) => ({
      name: `shop-${index + 1}`,
      address: `${this.#network}.${sites * 20 + 10 + index}:${UPSTREAM_PORT}`,
      region: 'north',
      zone,
      vm: `vm-shop-${index + 1}`,
      slots: 4,
      connections: 200,
    }));
  }
}

function toSettings(entry: SiteEntry, index: number, platform: object): object {
  return {
    name: entry.name,
    vm: `vm-${entry.name}`,
    region: 'north',
    zone: ZONES[index % ZONES.length],
    callers: {address: entry.callers},
    peers: {address: entry.callers.replace(/\d+$/, String(PEER_PORT))},
    operators: {address: entry.operators},
    platform,
  };
}
