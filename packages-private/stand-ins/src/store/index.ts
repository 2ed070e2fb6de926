/** The stand-in for the platform's store. */

export * from './faults.js';
export {type Write} from './key-space.js';
export * from './store-stand-in.js';
export {createStoreControl} from './store-control.js';
