/** Reads the list of VMs: for entries to talk to, and for VMs that are leaving. */

import type {Vm, VmList} from '@wasabidyke/store';
import type {Counter, MetricRegistry} from '@wasabidyke/shared';

/** Told of each reading. */
export type VmListener = (vms: readonly Vm[]) => void;

/** What the watch needs. */
export interface VmWatchOptions {
  readonly vmList: VmList;
  /** Whether this entry reads for its region; the others read seldom. */
  readonly isReader: () => boolean;
  readonly onVms: VmListener;
  readonly metrics: MetricRegistry;
}

const PERIOD_MS = 1_000;

/** An entry that doesn't read for its region reads once in this many periods. */
const SELDOM_PERIODS = 15;

/** Reads the list of VMs again and again. */
export class VmWatch {
  readonly #options: VmWatchOptions;
  readonly #failures: Counter;
  #vms: readonly Vm[] = [];
  #periods = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: VmWatchOptions) {
    this.#options = options;
    this.#failures = options.metrics.counter(
      'wasabidyke_vm_list_failures_total',
      'Readings of the list of VMs that failed.',
    );
  }

  /** The newest list; an older one stays when a reading fails. */
  get vms(): readonly Vm[] {
    return this.#vms;
  }

  /** Reads once, then goes on in the background. */
  async start(): Promise<void> {
    await this.#read();
    this.#schedule();
  }

  /** Ends reading. */
  async stop(): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    await this.#options.vmList.close();
  }

  #schedule(): void {
    this.#timer = setTimeout(() => void this.#onPeriod(), PERIOD_MS);
  }

  async #onPeriod(): Promise<void> {
    this.#periods += 1;
    const isDue =
      this.#vms.length === 0 ||
      this.#periods % SELDOM_PERIODS === 0 ||
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
