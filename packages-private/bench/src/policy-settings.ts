/** What the experiment `policy` measures: its arms, its cells and its constants. */

import type {SelectionPolicyName} from '@wasabidyke/manifest';
import type {ArrivalPattern} from './arrivals.js';
import type {DeploymentName} from './deployment.js';

/** An arm: a selection, or the oracle that sees true load at no delay and no cost. */
export type ArmName = SelectionPolicyName | 'oracle';

/** All arms, in the order in which they are told. */
export const ARMS: readonly ArmName[] = [
  'random',
  'round-robin',
  'least-in-flight',
  'two-choices',
  'two-choices-reported',
  'hot-cold',
  'oracle',
];

/** The arm that the others are compared with. */
export const BASE_ARM: ArmName = 'two-choices';

/** Whether VMs have noisy neighbours. */
export type Noisiness = 'calm' | 'noisy';

/** One cell: what all arms meet at the same time. */
export interface Cell {
  readonly deployment: DeploymentName;
  /** Load as a percentage of the capacity without neighbours. */
  readonly loadPercent: number;
  readonly noisiness: Noisiness;
  readonly reportLagMs: number;
}

/** Constants of a run. */
export interface PolicySettings {
  readonly seed: number;
  /** Whether selections run in the load tool, without entry processes. */
  readonly isDirect: boolean;
  /** Arms that are measured; the base and the oracle always are. */
  readonly arms: readonly ArmName[];
  /** Arms that hedge; only for selections in the load tool. */
  readonly hedgedArms: readonly ArmName[];
  readonly arrivals: ArrivalPattern;
  readonly rounds: number;
  readonly roundMs: number;
  /** Time before the first round of a cell. */
  readonly warmUpMs: number;
  /** Time that new entry processes run under load before the first cell. */
  readonly entryWarmUpMs: number;
  /** A round is disturbed when the 99th percentile of what an arm's caller sent late is above this. */
  readonly disturbedLatenessMs: number;
  readonly timeoutMs: number;
  /** Mean service time without a busy neighbour. */
  readonly serviceMeanMs: number;
  /** Standard deviation of the logarithm of the service time. */
  readonly serviceSigma: number;
  /** Requests that may wait at a worker, for each of its slots. */
  readonly queuePerSlot: number;
  /** What service times are multiplied by while a VM's neighbour is busy. */
  readonly noiseFactor: number;
  /** Mean time that a neighbour is busy, in mean service times. */
  readonly noiseMeanBusyRuns: number;
  /** Mean time that a neighbour is quiet, in mean service times. */
  readonly noiseMeanQuietRuns: number;
  readonly cells: readonly Cell[];
}

/** Settings unless stated otherwise. */
export const DEFAULT_SETTINGS = {
  arrivals: 'poisson',
  rounds: 6,
  roundMs: 3_500,
  warmUpMs: 1_500,
  entryWarmUpMs: 6_000,
  disturbedLatenessMs: 25,
  timeoutMs: 5_000,
  serviceMeanMs: 100,
  serviceSigma: 0.5,
  queuePerSlot: 4,
  noiseFactor: 5,
  noiseMeanBusyRuns: 10,
  noiseMeanQuietRuns: 90,
} as const;

/** Cells that are measured unless others are asked for. */
export const DEFAULT_CELLS: readonly Cell[] = [
  createCell('blue-mahoe', 50, 'noisy', 50),
  createCell('blue-mahoe', 75, 'calm', 50),
  createCell('blue-mahoe', 75, 'noisy', 5),
  createCell('blue-mahoe', 75, 'noisy', 50),
  createCell('blue-mahoe', 75, 'noisy', 500),
  createCell('blue-mahoe', 105, 'noisy', 50),
  createCell('vanhecke', 75, 'calm', 50),
  createCell('vanhecke', 75, 'noisy', 50),
  createCell('vanhecke', 75, 'noisy', 500),
];

/** Every cell that the experiment knows. */
export function createAllCells(deployment: DeploymentName): Cell[] {
  return [50, 75, 90, 105].flatMap(loadPercent =>
    (['calm', 'noisy'] as const).flatMap(noisiness =>
      [5, 50, 500].map(reportLagMs =>
        createCell(deployment, loadPercent, noisiness, reportLagMs),
      ),
    ),
  );
}

function createCell(
  deployment: DeploymentName,
  loadPercent: number,
  noisiness: Noisiness,
  reportLagMs: number,
): Cell {
  return {deployment, loadPercent, noisiness, reportLagMs};
}
