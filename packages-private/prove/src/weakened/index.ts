/** Naive parts that stand in for an entry's own, to show that the checks can fail. */

import type {ContainerChange} from '@wasabidyke/entry';
import type {PromiseName} from '@wasabidyke/stand-ins';

/** A naive part in the place of a mechanism. */
export interface Weakening {
  /** The promise that the mechanism keeps. */
  readonly promise: PromiseName;
  /** What is left out. */
  readonly description: string;
  readonly change: ContainerChange;
}

/** All of them, by name. */
export const WEAKENINGS: Readonly<Record<string, Weakening>> = {};
