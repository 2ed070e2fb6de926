/** A stand-in for the platform's list of VMs, which lags. */

import fastify, {type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {SwitchedServer} from '../store/switched-server.js';

/** Versions of the list that are kept while they wait to be seen. */
const MAXIMUM_VERSIONS = 1_000;

const rowSchema = z.looseObject({name: z.string()});

/** The list as it is set; rows are served as they are, also wrong ones. */
export const vmListDocumentSchema = z.strictObject({vms: z.array(z.unknown())});

/** Faults; what is left out is not at fault. */
export const vmListFaultsSchema = z.strictObject({
  /** Whether connections are refused. */
  isDown: z.boolean().default(false),
  /** How long a change stays unseen, in milliseconds. */
  lagMs: z.int().min(0).max(3_600_000).default(0),
});

/** Faults of the VM list stand-in. */
export type VmListFaults = z.infer<typeof vmListFaultsSchema>;

interface Version {
  readonly setAtMs: number;
  readonly vms: readonly unknown[];
}

/** The VM list stand-in: `GET /vms`. */
export class VmListStandIn {
  readonly #app: FastifyInstance;
  #server!: SwitchedServer;
  #versions: readonly Version[] = [{setAtMs: -Infinity, vms: []}];
  #faults: VmListFaults = vmListFaultsSchema.parse({});

  /** @param address Where to listen, `host:port`; port 0 takes a free one. */
  constructor(address: string) {
    this.#app = fastify({
      serverFactory: listener => {
        this.#server = new SwitchedServer(address, listener);
        return this.#server.server;
      },
    });
    this.#app.get('/vms', async () => ({vms: this.#seen()}));
  }

  /** The address it listens at, `host:port`. */
  get address(): string {
    return this.#server.address;
  }

  /** The rows as last set, whether seen yet or not. */
  get vms(): readonly unknown[] {
    return this.#versions[this.#versions.length - 1].vms;
  }

  /** Sets the whole list; it is seen after the lag. */
  set(vms: readonly unknown[]): void {
    const version = {setAtMs: performance.now(), vms};
    this.#versions = [...this.#versions, version].slice(-MAXIMUM_VERSIONS);
  }

  /** Changes or adds the row of this name. */
  change(name: string, properties: object): void {
    const rows = this.vms.map(row =>
      isNamed(row, name) ? {...row, ...properties} : row,
    );
    const isKnown = this.vms.some(row => isNamed(row, name));
    this.set(isKnown ? rows : [...rows, {name, ...properties}]);
  }

  /** Removes the row of this name. */
  remove(name: string): void {
    this.set(this.vms.filter(row => !isNamed(row, name)));
  }

  /** Shows these faults from now on, in place of the ones before. */
  async setFaults(faults: VmListFaults): Promise<void> {
    this.#faults = faults;
    await (faults.isDown ? this.#server.shut() : this.#server.open());
  }

  /** Begins to listen. */
  async open(): Promise<void> {
    await this.#app.ready();
    await this.#server.open();
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.#server.shut();
  }

  #seen(): readonly unknown[] {
    const seenUntilMs = performance.now() - this.#faults.lagMs;
    const seen = this.#versions.findLast(
      version => version.setAtMs <= seenUntilMs,
    );
    return (seen ?? this.#versions[0]).vms;
  }
}

function isNamed(row: unknown, name: string): row is {name: string} {
  const parsed = rowSchema.safeParse(row);
  return parsed.success && parsed.data.name === name;
}
