/** Selection: which upstream a request goes to. */

import type {UpstreamLoad} from './upstream-load.js';

/** A source of random numbers. */
export abstract class RandomSource {
  /** A whole number from 0 up to, but not including, `bound`. */
  abstract nextBelow(bound: number): number;
}

/** A way to select an upstream. Holds no I/O and no clock of its own. */
export abstract class Selection {
  /**
   * Selects one of `candidates`, all of which may serve the request.
   * @param nowMs This process's monotonic clock.
   * @returns undefined only when there is no candidate.
   */
  abstract select(
    candidates: readonly UpstreamLoad[],
    nowMs: number,
  ): UpstreamLoad | undefined;
}
