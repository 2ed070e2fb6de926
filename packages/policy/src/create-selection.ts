/** Creation of the selection algorithm that a manifest names. */

import type {SelectionPolicyName} from '@wasabidyke/manifest';
import {HotColdSelection} from './hot-cold.js';
import {LeastInFlightSelection} from './least-in-flight.js';
import {RandomSelection} from './random-selection.js';
import {RoundRobinSelection} from './round-robin.js';
import type {RandomSource, Selection} from './selection.js';
import {TwoChoicesReportedSelection} from './two-choices-reported.js';
import {TwoChoicesSelection} from './two-choices.js';

/**
 * Creates the selection algorithm of one service. It keeps state about the
 * candidates it is given, so each service needs its own.
 */
export function createSelection(
  name: SelectionPolicyName,
  random: RandomSource,
): Selection {
  switch (name) {
    case 'random':
      return new RandomSelection(random);
    case 'round-robin':
      return new RoundRobinSelection(random);
    case 'least-in-flight':
      return new LeastInFlightSelection(random);
    case 'two-choices':
      return new TwoChoicesSelection(random);
    case 'two-choices-reported':
      return new TwoChoicesReportedSelection(random);
    case 'hot-cold':
      return new HotColdSelection(random);
  }
}
