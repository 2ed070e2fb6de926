/** The platform that the system runs on: its store and its list of VMs. */

export * from './backoff.js';
export * from './embedded-store.js';
export {EtcdStore, type EtcdStoreOptions} from './etcd-store.js';
export * from './fixed-vm-list.js';
export * from './http-vm-list.js';
export * from './store.js';
export * from './vm-list.js';
