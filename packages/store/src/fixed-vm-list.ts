/** A list of VMs that stands in the settings, for a site whose platform has none. */

import {Ok, type Result} from '@wasabidyke/shared';
import {VmList, type Vm, type VmListError, type VmListing} from './vm-list.js';

/** A list that never changes. */
export class FixedVmList extends VmList {
  readonly #vms: readonly Vm[];

  constructor(vms: readonly Vm[]) {
    super();
    this.#vms = vms;
  }

  override async read(): Promise<Result<VmListing, VmListError>> {
    return Ok({vms: this.#vms, findings: []});
  }

  override async close(): Promise<void> {}
}
