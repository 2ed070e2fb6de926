/** The store and the list of VMs that the product itself speaks to. */

export * from './embedded-store.js';
export {EtcdStore, type EtcdStoreOptions} from './etcd-store.js';
export * from './fixed-vm-list.js';
export * from './http-vm-list.js';
export {type ManifestListener} from './manifest-intake.js';
export * from './manifest-repository.js';
export {
  type ManifestSubmission,
  type SubmissionOutcome,
} from './manifest-submission.js';
export * from './manifest-watch.js';
export * from './numbered-lease.js';
export {type SlotCount} from './slot-count.js';
export * from './store.js';
export * from './vm-list.js';
