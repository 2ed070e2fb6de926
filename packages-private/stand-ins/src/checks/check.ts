/** What every check over a history has in common. */

import type {History} from '../history/index.js';

/** Names of the promises. */
export const PROMISES = [
  'at-most-once',
  'not-run',
  'whole-answer',
  'leaving-upstream',
  'planned-stop',
  'manifest',
  'load-watch',
  'poison',
] as const;

/** The name of a promise. */
export type PromiseName = (typeof PROMISES)[number];

/** What a check found. */
export interface CheckReport {
  /** Events that the check looked at. */
  readonly events: number;
  /** Those of them that could have broken the promise. */
  readonly trials: number;
  /** One line for each violation. */
  readonly violations: readonly string[];
}

/** Decides over a whole history. It has no state and changes nothing. */
export type Check = (history: History) => CheckReport;
