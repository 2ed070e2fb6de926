/** The entry: a process between callers and upstreams. */

export {
  createEntryContainer,
  type EntryContainer,
  type EntryCradle,
} from './container.js';
export {RevisionGuard} from './control/manifest-keeper.js';
export {Entry} from './entry.js';
export {Ledger} from './once/run-ledger.js';
export {runEntry, type ContainerChange} from './run-entry.js';
