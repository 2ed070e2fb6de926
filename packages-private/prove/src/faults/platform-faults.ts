/** Faults of the store and of the VM list. */

import type {StoreFaults} from '@wasabidyke/stand-ins';
import type {StoreWrite} from '../site/site.js';
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

/** Reads are served as of the manifest before the present one. */
export class StaleReadFault extends PlatformFault {
  override async begin({site}: FaultContext): Promise<void> {
    await site.makeStoreStale();
  }

  override async end({site}: FaultContext): Promise<void> {
    await site.changeStore({staleRevision: undefined});
  }
}

/** The first manifest is put back into the store, as from a backup, and later the latest one. */
export class RestoreFault extends PlatformFault {
  #latest: StoreWrite | undefined;

  override async begin({site}: FaultContext): Promise<void> {
    this.#latest = await site.restoreFirstManifest();
  }

  override async end({site}: FaultContext): Promise<void> {
    if (this.#latest !== undefined) {
      await site.writeStore(this.#latest);
    }
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
