/** The periods and limits of time by which entries talk to each other. */

import {MINUTE_MS, SECOND_MS} from '@wasabidyke/shared';

/** The periods and limits of time by which entries talk to each other, in milliseconds. */
export interface PeerTimings {
  /** Between two heartbeats, and between two exchanges that an entry starts. */
  readonly periodMs: number;
  /** A member of the same region is suspected when its heartbeat has not risen for this long; of another region, for twice as long. */
  readonly suspectAfterMs: number;
  /** A suspected member is taken for dead after this further silence; of another region, after twice as long. */
  readonly deadAfterMs: number;
  /** The row of a dead member is removed after this further time. */
  readonly forgetAfterMs: number;
  /** Fresh rows wait this long for others to travel with. */
  readonly gatherMs: number;
  /** An exchange or a push is given up after this long. */
  readonly callTimeoutMs: number;
  /** A message with ledger records or a manifest is given up after this long. */
  readonly transferTimeoutMs: number;
  /** A connection to a peer is closed when it was not used for this long. */
  readonly idleConnectionMs: number;
}

/** The timings unless others are given. */
export const DEFAULT_PEER_TIMINGS: PeerTimings = {
  periodMs: SECOND_MS,
  suspectAfterMs: 8 * SECOND_MS,
  deadAfterMs: 12 * SECOND_MS,
  forgetAfterMs: 15 * MINUTE_MS,
  gatherMs: 5,
  callTimeoutMs: SECOND_MS,
  transferTimeoutMs: 5 * SECOND_MS,
  idleConnectionMs: 90 * SECOND_MS,
};
