/** What the experiment `policy` tells. */

import type {CallerResult} from './caller-settings.js';
import {compare, type Ratio} from './comparison.js';
import {
  LatencyRecord,
  type CurvePoint,
  type LatencyFigures,
} from './latency-record.js';
import type {Machine} from './machine.js';
import {
  BASE_ARM,
  type ArmName,
  type Cell,
  type PolicySettings,
} from './policy-settings.js';

/** Target: tail against two random choices at 75 % with noisy neighbours. */
const GREATEST_RATIO_TO_BASE = 0.5;

/** Target: tail against the oracle at 75 % with noisy neighbours. */
const GREATEST_RATIO_TO_ORACLE = 1.2;

/** Load at which the two targets hold, in percent. */
const TARGET_LOAD_PERCENT = 75;

/** What became of requests. */
export interface Counts {
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
}

/** What one round of one arm gave. */
export interface RoundFigures extends Counts {
  readonly latency: LatencyFigures;
  /** By how much the load tool sent requests late. */
  readonly lateness: LatencyFigures;
}

/** What one arm gave in one cell. */
export interface ArmFigures extends Counts {
  readonly arm: ArmName;
  readonly latency: LatencyFigures;
  readonly curve: readonly CurvePoint[];
  /** By how much the load tool sent requests late. */
  readonly lateness: LatencyFigures;
  readonly rounds: readonly RoundFigures[];
  /** 99.9th percentile against two random choices. */
  readonly p999ToBase: Ratio;
  /** 99.9th percentile against the oracle. */
  readonly p999ToOracle: Ratio;
}

/** What one cell gave. */
export interface CellFigures {
  readonly cell: Cell;
  readonly ratePerSecond: number;
  /** Numbers of the rounds that are left out for all arms: the machine made the load tool late. */
  readonly disturbedRounds: readonly number[];
  readonly arms: readonly ArmFigures[];
}

/** Whether an arm met a target in a cell. */
export interface TargetFigures {
  readonly arm: ArmName;
  readonly cell: Cell;
  readonly target: string;
  readonly greatest: number;
  readonly ratio: number;
  readonly isMet: boolean;
}

/** The whole document. */
export interface PolicyResult {
  readonly experiment: 'policy';
  readonly command: string;
  readonly startedAt: string;
  readonly durationSeconds: number;
  readonly machine: Machine;
  readonly settings: PolicySettings;
  readonly cells: readonly CellFigures[];
  readonly targets: readonly TargetFigures[];
}

/** What the caller of one arm gave. */
export interface ArmResult {
  readonly arm: ArmName;
  readonly result: CallerResult;
}

type UncomparedFigures = Omit<ArmFigures, 'p999ToBase' | 'p999ToOracle'>;

/** Works out the figures of a cell. */
export function toCellFigures(
  cell: Cell,
  ratePerSecond: number,
  results: readonly ArmResult[],
  disturbedLatenessMs: number,
): CellFigures {
  const disturbed = findDisturbedRounds(results, disturbedLatenessMs);
  const arms = results.map(each => toUncomparedFigures(each, disturbed));
  const base = findArm(arms, BASE_ARM);
  const oracle = findArm(arms, 'oracle');
  return {
    cell,
    ratePerSecond,
    disturbedRounds: [...disturbed],
    arms: arms.map(arm => ({
      ...arm,
      p999ToBase: compareTails(arm, base),
      p999ToOracle: compareTails(arm, oracle),
    })),
  };
}

/** Says for each cell whether the arm met its targets. */
export function checkTargets(
  cells: readonly CellFigures[],
  arm: ArmName,
): readonly TargetFigures[] {
  return cells.flatMap(({cell, arms}) => {
    const {p999ToBase, p999ToOracle} = findArm(arms, arm);
    const isTargetCell =
      cell.loadPercent === TARGET_LOAD_PERCENT && cell.noisiness === 'noisy';
    if (!isTargetCell) {
      return [toTarget(arm, cell, 'to-two-choices', 1, p999ToBase.whole)];
    }
    return [
      toTarget(
        arm,
        cell,
        'to-two-choices',
        GREATEST_RATIO_TO_BASE,
        p999ToBase.whole,
      ),
      toTarget(
        arm,
        cell,
        'to-oracle',
        GREATEST_RATIO_TO_ORACLE,
        p999ToOracle.whole,
      ),
    ];
  });
}

function toTarget(
  arm: ArmName,
  cell: Cell,
  target: string,
  greatest: number,
  ratio: number,
): TargetFigures {
  return {arm, cell, target, greatest, ratio, isMet: ratio <= greatest};
}

/** Finds the rounds in which any caller was late; none when that would leave no round. */
function findDisturbedRounds(
  results: readonly ArmResult[],
  disturbedLatenessMs: number,
): ReadonlySet<number> {
  const disturbed = new Set<number>();
  for (const {result} of results) {
    for (const [number, round] of result.rounds.entries()) {
      const {p99Ms} = new LatencyRecord(round.lateness).toFigures();
      if (p99Ms > disturbedLatenessMs) {
        disturbed.add(number);
      }
    }
  }
  const isAny = results[0].result.rounds.length > disturbed.size;
  return isAny ? disturbed : new Set();
}

function toUncomparedFigures(
  {arm, result}: ArmResult,
  disturbed: ReadonlySet<number>,
): UncomparedFigures {
  const rounds = result.rounds.filter((_, number) => !disturbed.has(number));
  const latency = new LatencyRecord();
  const lateness = new LatencyRecord();
  for (const round of rounds) {
    latency.add(new LatencyRecord(round.latency));
    lateness.add(new LatencyRecord(round.lateness));
  }
  return {
    arm,
    ...sumCounts(rounds),
    latency: latency.toFigures(),
    curve: latency.toCurve(),
    lateness: lateness.toFigures(),
    rounds: rounds.map(round => ({
      answered: round.answered,
      refused: round.refused,
      failed: round.failed,
      latency: new LatencyRecord(round.latency).toFigures(),
      lateness: new LatencyRecord(round.lateness).toFigures(),
    })),
  };
}

function sumCounts(rounds: readonly Counts[]): Counts {
  const sum = {answered: 0, refused: 0, failed: 0};
  for (const round of rounds) {
    sum.answered += round.answered;
    sum.refused += round.refused;
    sum.failed += round.failed;
  }
  return sum;
}

function compareTails(
  left: UncomparedFigures,
  right: UncomparedFigures,
): Ratio {
  return compare(
    [left.latency.p999Ms, right.latency.p999Ms],
    left.rounds.map(round => round.latency.p999Ms),
    right.rounds.map(round => round.latency.p999Ms),
  );
}

function findArm<Figures extends {readonly arm: ArmName}>(
  arms: readonly Figures[],
  name: ArmName,
): Figures {
  const found = arms.find(({arm}) => arm === name);
  if (found === undefined) {
    throw new Error(`no figures of arm ${name}`);
  }
  return found;
}
