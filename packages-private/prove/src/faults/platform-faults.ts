/** Faults of the store and of the VM list. */

import type {StoreFaults} from '@wasabidyke/stand-ins';
import {Fault, type FaultContext} from './fault.js';

/** A fault of the platform. */
abstract class PlatformFault extends Fault {
  override readonly targetKind = 'site';
  override readonly historyName: string;

  constructor(name: string) {
    super();
    this.historyName = name;
  }
}

/** The store behaves badly for a while. */
export class StoreFault extends PlatformFault {
  readonly #faults: Partial<StoreFaults>;
  readonly #usual: Partial<StoreFaults>;

  /** @param usual What `faults` are set to again. */
  constructor(
    name: string,
    faults: Partial<StoreFaults>,
    usual: Partial<StoreFaults>,
  ) {
    super(name);
    this.#faults = faults;
    this.#usual = usual;
  }

  override async begin({site}: FaultContext): Promise<void> {
    await site.changeStore(this.#faults);
  }

  override async end({site}: FaultContext): Promise<void> {
    await site.changeStore(this.#usual);
  }
}

/** All leases lapse. */
export class LapseFault extends PlatformFault {
  override async begin({site}: FaultContext): Promise<void> {
    await site.lapseLeases();
  }

  override async end(): Promise<void> {}
}

/** The VM list lags or is down for a while. */
export class VmListFault extends PlatformFault {
  readonly #faults: object;

  constructor(name: string, faults: object) {
    super(name);
    this.#faults = faults;
  }

  override async begin({site}: FaultContext): Promise<void> {
    await site.changeVmList(this.#faults);
  }

  override async end({site}: FaultContext): Promise<void> {
    await site.changeVmList({});
  }
}
