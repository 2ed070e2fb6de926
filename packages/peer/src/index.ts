/**
 * Communication between entries. The state that an entry receives may be late and
 * may differ from the state of other entries, so no safety guarantee depends on it.
 */

export type {HandOverAnswer} from './hand-over.js';
export {
  ledgerRecordSchema,
  MAXIMUM_RECORD_BODY_BYTES,
  type LedgerRecord,
} from './ledger-record.js';
export type {MemberHealth} from './member-health.js';
export type {PeerError, PeerTarget} from './peer-clients.js';
export {PeerDialer, TcpDialer} from './peer-dialer.js';
export {PeerHandler, type PeerIdentity} from './peer-handler.js';
export {
  createIncarnation,
  MemberDescription,
  type PeerTaskOptions,
} from './peer-options.js';
export type {PeerRandom, SeedPeer} from './peer-selection.js';
export type {ListenAddress} from './peer-server.js';
export {PeerTask, PublishResult} from './peer-task.js';
export {DEFAULT_PEER_TIMINGS, type PeerTimings} from './peer-timings.js';
export type {MemberView} from './replica.js';
export {
  DEFAULT_ROW_LIMITS,
  MAXIMUM_ROW_LIFE_MS,
  MAXIMUM_VERSION_LEAD_MS,
  RowTable,
  type MergeOutcome,
  type RowLimits,
} from './row-table.js';
export * from './rows.js';
export type {SuspectView} from './suspect-view.js';
