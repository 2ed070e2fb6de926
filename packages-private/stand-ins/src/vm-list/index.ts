/** The stand-in for the platform's list of VMs. */

export {createVmListControl} from './vm-list-control.js';
export {
  VmListStandIn,
  vmListFaultsSchema,
  type VmListFaults,
} from './vm-list-stand-in.js';
