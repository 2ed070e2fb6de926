/** Selection of the upstream that a request goes to. */

import type {UpstreamLoad} from './upstream-load.js';

/** A source of random numbers. */
export abstract class RandomSource {
  /** Returns an integer from 0 up to, but not including, `bound`. */
  abstract nextBelow(bound: number): number;
}

/** An algorithm that selects an upstream. It does no I/O and reads no clock. */
export abstract class Selection {
  /**
   * Selects one of `candidates`, each of which can serve the request.
   * @param nowMs This process's monotonic clock.
   * @returns undefined only when there is no candidate.
   */
  abstract select(
    candidates: readonly UpstreamLoad[],
    nowMs: number,
  ): UpstreamLoad | undefined;
}
