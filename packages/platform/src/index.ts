/** The platform that the system runs on: its store and its list of VMs. */

export * from './store.js';
export * from './vm-list.js';
