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

/** Fewest undisturbed pairs for a verdict. */
const FEWEST_PAIRS = 5;

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
  /** Whether too few undisturbed rounds are left for a verdict; figures then are over all rounds. */
  readonly isDisturbed: boolean;
  readonly arms: readonly ArmFigures[];
}

/** Whether a target is met; not judged when the machine disturbed the cell. */
export type Verdict = 'met' | 'not met' | 'not judged';

/** Whether an arm met a target in a cell. */
export interface TargetFigures {
  readonly arm: ArmName;
  readonly cell: Cell;
  readonly target: string;
  readonly greatest: number;
  readonly ratio: number;
  readonly verdict: Verdict;
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
  const {rounds} = results[0].result;
  const isDisturbed = rounds.length - disturbed.size < FEWEST_PAIRS;
  const leftOut = isDisturbed ? new Set<number>() : disturbed;
  const arms = results.map(each => toUncomparedFigures(each, leftOut));
  const base = findArm(arms, BASE_ARM);
  const oracle = findArm(arms, 'oracle');
  return {
    cell,
    ratePerSecond,
    disturbedRounds: [...disturbed].toSorted((left, right) => left - right),
    isDisturbed,
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
  return cells.flatMap(figures => {
    const {cell} = figures;
    const {p999ToBase, p999ToOracle} = findArm(figures.arms, arm);
    const isTargetCell =
      cell.loadPercent === TARGET_LOAD_PERCENT && cell.noisiness === 'noisy';
    const greatest = isTargetCell ? GREATEST_RATIO_TO_BASE : 1;
    const toBase = judge(figures, p999ToBase.whole, greatest);
    const targets = [{arm, cell, target: 'to-two-choices', ...toBase}];
    if (isTargetCell) {
      const ratio = p999ToOracle.whole;
      const toOracle = judge(figures, ratio, GREATEST_RATIO_TO_ORACLE);
      targets.push({arm, cell, target: 'to-oracle', ...toOracle});
    }
    return targets;
  });
}

function judge(
  {isDisturbed}: CellFigures,
  ratio: number,
  greatest: number,
): Pick<TargetFigures, 'ratio' | 'greatest' | 'verdict'> {
  if (isDisturbed) {
    return {ratio, greatest, verdict: 'not judged'};
  }
  return {ratio, greatest, verdict: ratio <= greatest ? 'met' : 'not met'};
}

/** Finds the rounds in which any caller was late. */
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
  return disturbed;
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
