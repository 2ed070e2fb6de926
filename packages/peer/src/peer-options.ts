/** What a peer task is made of. */

import {randomBytes} from 'node:crypto';
import type {Clock, MetricRegistry, Reporter} from '@wasabidyke/shared';
import type {PeerDialer} from './peer-dialer.js';
import type {PeerHandler} from './peer-handler.js';
import type {PeerRandom, SeedPeer} from './peer-selection.js';
import type {ListenAddress} from './peer-server.js';
import type {PeerTimings} from './peer-timings.js';
import type {RowLimits} from './row-table.js';

/** What an entry says of itself from its start on. */
export interface MemberFacts {
  /** Name of the entry, unique in the system. */
  readonly entry: string;
  /** From `createIncarnation`. */
  readonly incarnation: string;
  /** IP address and port where callers connect. */
  readonly callerAddress: string;
  /** IP address and port where other entries connect; the listener's own unless given. */
  readonly peerAddress?: string;
  readonly region: string;
  readonly zone: string;
}

/** What a peer task is made of. */
export interface PeerTaskOptions {
  readonly member: MemberFacts;
  readonly listen: ListenAddress;
  /** Peers that may be there, such as those that the VM list names. */
  readonly seeds: () => readonly SeedPeer[];
  readonly handler: PeerHandler;
  readonly clock: Clock;
  readonly registry: MetricRegistry;
  readonly reporter: Reporter;
  readonly random: PeerRandom;
  /** Plain TCP unless given. */
  readonly dialer?: PeerDialer;
  readonly timings?: Partial<PeerTimings>;
  readonly limits?: RowLimits;
}

const INCARNATION_BYTES = 8;

/** A new identity for the start of a process. */
export function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString('hex');
}
