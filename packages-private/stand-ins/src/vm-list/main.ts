/** Runs the VM list stand-in as a process. */

import {runStandIn} from '../store/run-stand-in.js';
import {createVmListControl} from './vm-list-control.js';
import {VmListStandIn} from './vm-list-stand-in.js';

await runStandIn('vm-list', address => {
  const standIn = new VmListStandIn(address);
  return {standIn, control: createVmListControl(standIn)};
});
