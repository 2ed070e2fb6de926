/**
 * Two random choices: of two random candidates, the one with fewer requests in flight.
 * Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
 */

import {PairSelection} from './pair-selection.js';
import type {UpstreamLoad} from './upstream-load.js';

/** Compares two random candidates by this entry's own requests in flight. */
export class TwoChoicesSelection extends PairSelection {
  protected override countRequests(load: UpstreamLoad): number {
    return load.inFlight;
  }
}
