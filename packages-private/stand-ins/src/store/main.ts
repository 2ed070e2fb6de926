/** Runs the store stand-in as a process. */

import {runStandIn} from './run-stand-in.js';
import {createStoreControl} from './store-control.js';
import {StoreStandIn} from './store-stand-in.js';

await runStandIn('store', address => {
  const standIn = new StoreStandIn(address);
  return {standIn, control: createStoreControl(standIn)};
});
