/** Intervals and timeouts of the communication between entries. */

import {MINUTE_MS, SECOND_MS} from '@wasabidyke/shared';

/** Intervals and timeouts of the communication between entries, in milliseconds. */
export interface PeerTimings {
  /** Interval between two heartbeats, and between two exchanges that an entry starts. */
  readonly periodMs: number;
  /** A member of the same region is suspected when its heartbeat has not increased for this long; a member of another region after twice as long. */
  readonly suspectAfterMs: number;
  /** A suspected member is considered dead after this further time without a heartbeat; a member of another region after twice as long. */
  readonly deadAfterMs: number;
  /** The row of a dead member is removed after this further time. */
  readonly forgetAfterMs: number;
  /** New rows are delayed by this long so that they can be sent in one batch. */
  readonly batchDelayMs: number;
  /** Timeout of an exchange or a push. */
  readonly callTimeoutMs: number;
  /** Timeout of a message with ledger records or a manifest. */
  readonly transferTimeoutMs: number;
  /** A connection to a peer is closed when unused for this long. */
  readonly idleConnectionMs: number;
}

/** Default timings. */
export const DEFAULT_PEER_TIMINGS: PeerTimings = {
  periodMs: SECOND_MS,
  suspectAfterMs: 8 * SECOND_MS,
  deadAfterMs: 12 * SECOND_MS,
  forgetAfterMs: 15 * MINUTE_MS,
  batchDelayMs: 5,
  callTimeoutMs: SECOND_MS,
  transferTimeoutMs: 5 * SECOND_MS,
  idleConnectionMs: 90 * SECOND_MS,
};
