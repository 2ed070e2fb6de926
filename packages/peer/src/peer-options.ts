/** Options of `PeerTask`. */

import {randomBytes} from 'node:crypto';
import type {Clock, MetricRegistry, Reporter} from '@wasabidyke/shared';
import type {PeerDialer} from './peer-dialer.js';
import type {PeerHandler} from './peer-handler.js';
import type {PeerRandom, SeedPeer} from './peer-selection.js';
import type {ListenAddress} from './peer-server.js';
import type {PeerTimings} from './peer-timings.js';
import type {RowLimits} from './row-table.js';

/** The properties of this entry's member row that are fixed at its start. */
export interface MemberDescription {
  /** Name of the entry, unique in the system. */
  readonly entry: string;
  /** From `createIncarnation`. */
  readonly incarnation: string;
  /** IP address and port that callers connect to. */
  readonly callerAddress: string;
  /** IP address and port that other entries connect to; defaults to the address listened on. */
  readonly peerAddress?: string;
  readonly region: string;
  readonly zone: string;
}

/** Options of `PeerTask`. */
export interface PeerTaskOptions {
  readonly member: MemberDescription;
  readonly listen: ListenAddress;
  /** Returns peers that may exist, for example those in the VM list. */
  readonly seeds: () => readonly SeedPeer[];
  readonly handler: PeerHandler;
  readonly clock: Clock;
  readonly registry: MetricRegistry;
  readonly reporter: Reporter;
  readonly random: PeerRandom;
  /** Defaults to plain TCP. */
  readonly dialer?: PeerDialer;
  readonly timings?: Partial<PeerTimings>;
  readonly limits?: RowLimits;
}

const INCARNATION_BYTES = 8;

/** Creates a random identifier that distinguishes this run of a process from earlier ones. */
export function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString('hex');
}
