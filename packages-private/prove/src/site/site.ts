/** A whole site of real processes: platform, links, workers and entries. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {Manifest} from '@wasabidyke/manifest';
import {
  FileHistoryRecorder,
  type HistoryRecorder,
  type StoreFaults,
} from '@wasabidyke/stand-ins';
import {request} from 'undici';
import {z} from 'zod';
import {sendControl} from './control-client.js';
import {
  createLayout,
  createManifest,
  toCallerAddress,
  toOperatorAddress,
  toPeerAddress,
  WORKER_SLOTS,
  type EntryPlace,
  type Layout,
  type WorkerPlace,
} from './layout.js';
import {Operator, type SubmissionEnd} from './operator.js';
import {PROGRAMS, type RunDirectory} from './programs.js';
import {Unit} from './unit.js';

const READY_POLL_MS = 50;
const SERVING_TIMEOUT_MS = 30_000;
const SERVICE_TIME_MS = 5;
const ANY_PORT = '127.0.0.1:0';

const platformReadySchema = z.looseObject({
  address: z.string(),
  control: z.string(),
});
const controlReadySchema = z.looseObject({control: z.string()});
const linksReadySchema = z.looseObject({
  control: z.string(),
  links: z.array(z.looseObject({name: z.string(), address: z.string()})),
});
const entryReadySchema = z.looseObject({});
const statusSchema = z.object({state: z.string()});

const storeWriteSchema = z.object({
  key: z.string(),
  value: z.string().optional(),
  revision: z.int(),
});

/** A write to the store. */
export type StoreWrite = z.infer<typeof storeWriteSchema>;

/** How a site is made. */
export interface SiteOptions {
  readonly directory: RunDirectory;
  readonly seed: number;
  /** Name of the part that stands in for one of the entries' own. */
  readonly weakened: string | undefined;
  /** Whether shares of the budget for watching load change hands within seconds. */
  readonly hasShortLeases: boolean;
}

/** A worker's process. */
export interface WorkerUnit {
  readonly place: WorkerPlace;
  readonly unit: Unit<typeof controlReadySchema>;
}

/** An entry's process. */
export interface EntryUnit {
  readonly place: EntryPlace;
  readonly unit: Unit<typeof entryReadySchema>;
}

/** A whole site of real processes. */
export class Site {
  readonly layout: Layout = createLayout();
  readonly history: HistoryRecorder;
  readonly entries = new Map<string, EntryUnit>();
  readonly workers = new Map<string, WorkerUnit>();
  readonly #options: SiteOptions;
  readonly #store: Unit<typeof platformReadySchema>;
  readonly #vmList: Unit<typeof platformReadySchema>;
  #links: Unit<typeof linksReadySchema> | undefined;
  #manifest: Manifest;
  #revision = 0;
  #submissions = 0;
  #storeFaults: Partial<StoreFaults> = {};

  constructor(options: SiteOptions) {
    this.#options = options;
    const {directory} = options;
    this.history = new FileHistoryRecorder(
      'runner',
      directory.toHistoryFile('runner'),
    );
    this.#manifest = createManifest(this.layout);
    this.#store = new Unit(
      directory.toOptions('store', PROGRAMS.store),
      platformReadySchema,
    );
    this.#vmList = new Unit(
      directory.toOptions('vm-list', PROGRAMS.vmList),
      platformReadySchema,
    );
  }

  /** The manifest that was accepted last. */
  get manifest(): Manifest {
    return this.#manifest;
  }

  /** The revision that was accepted last, as far as the operators were told. */
  get revision(): number {
    return this.#revision;
  }

  /** Callers' addresses of the entries. */
  get callerAddresses(): readonly string[] {
    return this.layout.entries.map(toCallerAddress);
  }

  /** Starts everything and waits until every entry serves. */
  async start(): Promise<void> {
    await Promise.all([
      this.#store.start(),
      this.#vmList.start(),
      ...this.layout.workers.map(place => this.#startWorker(place)),
    ]);
    await this.#startLinks();
    await this.#fillVmList();
    await Promise.all(
      this.layout.entries.map(place => this.#startEntry(place)),
    );
    const accepted = await this.submit(this.#manifest);
    if (!accepted?.isAccepted) {
      throw new Error('The first manifest was not accepted');
    }
    this.recordBudget();
    await this.#waitUntilServing();
  }

  /** Ends everything at once. */
  async kill(): Promise<void> {
    const units = [
      ...[...this.entries.values()].map(({unit}) => unit),
      ...[...this.workers.values()].map(({unit}) => unit),
      this.#store,
      this.#vmList,
    ];
    await Promise.all([this.#links?.kill(), ...units.map(unit => unit.kill())]);
    this.history.close();
  }

  /** Submits a manifest through the entries, starting with the one of this position. */
  async submit(
    manifest: Manifest,
    firstEntry = 0,
    basedOn = this.#revision,
  ): Promise<SubmissionEnd> {
    this.#submissions += 1;
    const submission = `submission-${this.#submissions}`;
    const addresses = this.layout.entries.map(toOperatorAddress);
    const inTurn = [
      ...addresses.slice(firstEntry),
      ...addresses.slice(0, firstEntry),
    ];
    const operator = new Operator(inTurn, this.history);
    const end = await operator.submit({submission, basedOn, manifest});
    if (end?.isAccepted && end.revision > this.#revision) {
      this.#revision = end.revision;
      this.#manifest = manifest;
    }
    this.#revision = Math.max(this.#revision, end?.revision ?? 0);
    return end;
  }

  /** Records the budget for watching load that is in the manifest. */
  recordBudget(): void {
    const {requestsPerSecond, bytesPerSecond} = this.#manifest.loadWatch;
    this.history.record({
      kind: 'budget-set',
      requestsPerSecond,
      bytesPerSecond,
    });
  }

  /** Changes faults of a worker. One that is down comes back without any. */
  async changeWorker(name: string, change: object): Promise<void> {
    const unit = this.workers.get(name)?.unit;
    if (unit === undefined || !unit.isReady) {
      return;
    }
    const {control} = unit.ready;
    try {
      await sendControl('POST', `http://${control}/change`, change);
    } catch (error) {
      if (unit.isReady) {
        throw error;
      }
    }
  }

  /** Changes links by their names. */
  async changeLinks(names: readonly string[], change: object): Promise<void> {
    const control = this.#links?.ready.control;
    await sendControl('POST', `http://${control}/change`, {
      links: names,
      ...change,
    });
  }

  /** Changes faults of the store, leaving the others as they are. */
  async changeStore(faults: Partial<StoreFaults>): Promise<void> {
    this.#storeFaults = {...this.#storeFaults, ...faults};
    const {control} = this.#store.ready;
    await sendControl('PUT', `http://${control}/faults`, this.#storeFaults);
  }

  /** Serves reads as of the manifest before the present one. */
  async makeStoreStale(): Promise<void> {
    const former = (await this.#readManifestWrites()).at(-2);
    await this.changeStore({staleRevision: former?.revision});
  }

  /** Puts the first manifest back into the store, past every check. Returns what stood there. */
  async restoreFirstManifest(): Promise<StoreWrite | undefined> {
    const writes = await this.#readManifestWrites();
    const latest = writes.at(-1);
    if (writes.length > 1) {
      await this.writeStore(writes[0]);
    }
    return latest;
  }

  /** Writes to the store, past every check. */
  async writeStore({key, value}: StoreWrite): Promise<void> {
    const {control} = this.#store.ready;
    await sendControl('POST', `http://${control}/write`, {key, value});
  }

  /** Lets all leases lapse. */
  async lapseLeases(): Promise<void> {
    await sendControl('POST', `http://${this.#store.ready.control}/lapse`, {});
  }

  /** Sets faults of the VM list. */
  async changeVmList(faults: object): Promise<void> {
    const {control} = this.#vmList.ready;
    await sendControl('PUT', `http://${control}/faults`, faults);
  }

  /** Changes a row of the VM list. */
  async changeVm(name: string, change: object): Promise<void> {
    const {control} = this.#vmList.ready;
    await sendControl('PATCH', `http://${control}/vms/${name}`, change);
  }

  async #readManifestWrites(): Promise<readonly StoreWrite[]> {
    const answer = await request(`http://${this.#store.ready.control}/history`);
    const lines = (await answer.body.text()).split('\n');
    return lines
      .filter(line => line !== '')
      .map(line => storeWriteSchema.parse(JSON.parse(line)))
      .filter(({key}) => key.endsWith('manifest'));
  }

  async #startWorker(place: WorkerPlace): Promise<void> {
    const {directory, seed} = this.#options;
    const {name, address, service, vm} = place;
    const options = directory.prepare(name, PROGRAMS.upstream, {
      process: name,
      seed,
      historyFile: directory.toHistoryFile(name),
      workers: [
        {
          name,
          address,
          service,
          vm,
          slots: WORKER_SLOTS,
          serviceTime: {meanMs: SERVICE_TIME_MS},
          faults: {crashMarker: 'poison'},
        },
      ],
    });
    const unit = new Unit(options, controlReadySchema);
    this.workers.set(name, {place, unit});
    await unit.start();
  }

  async #startLinks(): Promise<void> {
    const toWorkers = this.layout.workers.map(worker => ({
      name: worker.name,
      listen: worker.linkAddress,
      target: worker.address,
    }));
    const toStore = this.layout.entries.map(({name}) => ({
      name: `store-${name}`,
      listen: ANY_PORT,
      target: this.#store.ready.address,
    }));
    const links = [...toWorkers, ...toStore];
    const options = this.#options.directory.prepare('links', PROGRAMS.links, {
      links,
    });
    this.#links = new Unit(options, linksReadySchema);
    await this.#links.start();
  }

  async #fillVmList(): Promise<void> {
    const entries = this.layout.entries.map(entry => ({
      name: `vm-${entry.name}`,
      address: entry.address,
      region: entry.region,
      zone: entry.zone,
      role: 'entry',
      state: 'live',
    }));
    const upstreams = this.layout.workers.map(worker => ({
      name: worker.vm,
      address: worker.address.split(':')[0],
      region: worker.region,
      zone: worker.zone,
      role: 'upstream',
      state: 'live',
    }));
    const {control} = this.#vmList.ready;
    const vms = [...entries, ...upstreams];
    await sendControl('PUT', `http://${control}/vms`, {vms});
  }

  async #startEntry(place: EntryPlace): Promise<void> {
    const {directory} = this.#options;
    const {name, region, zone} = place;
    const storeLink = this.#links?.ready.links.find(
      link => link.name === `store-${name}`,
    );
    const settings = {
      name,
      vm: `vm-${name}`,
      region,
      zone,
      callers: {address: toCallerAddress(place)},
      peers: {address: toPeerAddress(place)},
      operators: {address: toOperatorAddress(place)},
      platform: {
        kind: 'etcd',
        endpoints: [`http://${storeLink?.address}`],
        vmList: {url: `http://${this.#vmList.ready.address}/vms`},
      },
      log: {format: 'json'},
    };
    const changes = this.#listChanges();
    const program =
      changes.length === 0 ? PROGRAMS.entry : PROGRAMS.changedEntry;
    const options = directory.prepare(name, program, settings, ...changes);
    const unit = new Unit(options, entryReadySchema);
    this.entries.set(name, {place, unit});
    await unit.start();
  }

  #listChanges(): readonly string[] {
    const {weakened, hasShortLeases} = this.#options;
    return [
      ...(weakened === undefined ? [] : ['--weakened', weakened]),
      ...(hasShortLeases ? ['--short-leases'] : []),
    ];
  }

  async #waitUntilServing(): Promise<void> {
    const deadlineMs = performance.now() + SERVING_TIMEOUT_MS;
    for (const place of this.layout.entries) {
      while (!(await isServing(place))) {
        if (performance.now() > deadlineMs) {
          throw new Error(`${place.name} does not serve; see its log`);
        }
        await sleep(READY_POLL_MS);
      }
    }
  }
}

async function isServing(place: EntryPlace): Promise<boolean> {
  const address = toOperatorAddress(place);
  const answer = await request(`http://${address}/v1/status`);
  const status = statusSchema.parse(await answer.body.json());
  return status.state === 'serving';
}
