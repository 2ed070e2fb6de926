/** Polls the VM list, which names entries to contact and VMs that are leaving. */

import type {Vm, VmList} from '@wasabidyke/store';
import type {Counter, MetricRegistry} from '@wasabidyke/shared';

/** Called with each VM list that was read. */
export type VmListener = (vms: readonly Vm[]) => void;

/** Options of `VmListPoller`. */
export interface VmListPollerOptions {
  readonly vmList: VmList;
  /** Whether this entry polls on behalf of its region; other entries poll less often. */
  readonly isReader: () => boolean;
  readonly onVms: VmListener;
  readonly metrics: MetricRegistry;
}

const TICK_MS = 1_000;

/** Ticks between two reads of an entry that doesn't poll on behalf of its region. */
const NON_READER_READ_TICKS = 15;

/** Reads the VM list at intervals. */
export class VmListPoller {
  readonly #options: VmListPollerOptions;
  readonly #failures: Counter;
  #vms: readonly Vm[] = [];
  #ticks = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: VmListPollerOptions) {
    this.#options = options;
    this.#failures = options.metrics.counter(
      'wasabidyke_vm_list_failures_total',
      'Readings of the list of VMs that failed.',
    );
  }

  /** The newest list. A failed read leaves the previous one in place. */
  get vms(): readonly Vm[] {
    return this.#vms;
  }

  /** Reads the list once, then starts to poll in the background. */
  async start(): Promise<void> {
    await this.#read();
    this.#schedule();
  }

  /** Stops polling. */
  async stop(): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    await this.#options.vmList.close();
  }

  #schedule(): void {
    this.#timer = setTimeout(() => void this.#onTick(), TICK_MS);
  }

  async #onTick(): Promise<void> {
    this.#ticks += 1;
    const isDue =
      this.#vms.length === 0 ||
      this.#ticks % NON_READER_READ_TICKS === 0 ||
      this.#options.isReader();
    if (isDue) {
      await this.#read();
    }
    if (this.#timer !== undefined) {
      this.#schedule();
    }
  }

  async #read(): Promise<void> {
    const listing = await this.#options.vmList.read();
    if (listing.isErr()) {
      this.#failures.add();
      return;
    }
    this.#vms = listing.value.vms;
    this.#options.onVms(this.#vms);
  }
}
