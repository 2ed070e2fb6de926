/**
 * Experiment `policy`: all arms meet the same arrivals and the same neighbours
 * at the same time, each with upstreams of its own, so that each round is a pair
 * for every two arms.
 */

import {SECOND_MS} from '@wasabidyke/shared';
import {
  callerResultSchema,
  type CallerResult,
  type CallerSettings,
} from './caller-settings.js';
import {ChildGroup} from './child-process.js';
import {DEPLOYMENTS, type Deployment} from './deployment.js';
import {EntryGroup, toServiceName} from './entry-group.js';
import {
  toCellFigures,
  type ArmResult,
  type CellFigures,
} from './policy-result.js';
import {
  type ArmName,
  type Cell,
  type Noisiness,
  type PolicySettings,
} from './policy-settings.js';
import {UpstreamGroup} from './upstream-group.js';

/** The program of a caller. */
const CALLER_PROGRAM = new URL('caller-main.js', import.meta.url).pathname;

/** Time that callers have to start up, in milliseconds. */
const CALLER_START_MS = 1_500;

/** Time beyond the settings after which a caller is given up, in milliseconds. */
const CALLER_GRACE_MS = 15_000;

/** Port of the first arm's workers. */
const FIRST_PORT = 18_000;

/** How long callers send. */
interface RoundTiming {
  readonly warmUpMs: number;
  readonly rounds: number;
  readonly roundMs: number;
}

/** Called with a line on the progress. */
export type ProgressListener = (line: string) => void;

/** Experiment `policy`. */
export class PolicyExperiment {
  readonly #settings: PolicySettings;
  readonly #onProgress: ProgressListener;

  constructor(settings: PolicySettings, onProgress: ProgressListener) {
    this.#settings = settings;
    this.#onProgress = onProgress;
  }

  /** Measures every cell, deployment by deployment. */
  async run(): Promise<readonly CellFigures[]> {
    const figures: CellFigures[] = [];
    for (const deployment of Object.values(DEPLOYMENTS)) {
      const cells = this.#settings.cells.filter(
        cell => cell.deployment === deployment.name,
      );
      if (cells.length > 0) {
        figures.push(...(await this.#runDeployment(deployment, cells)));
      }
    }
    return figures;
  }

  async #runDeployment(
    deployment: Deployment,
    cells: readonly Cell[],
  ): Promise<readonly CellFigures[]> {
    const children = new ChildGroup();
    try {
      const groups = createGroups(deployment, cells, this.#settings.arms);
      await Promise.all(
        groups.map(group => group.start(children, this.#settings)),
      );
      const entries = new EntryGroup(deployment, createNetwork());
      if (!this.#settings.isDirect) {
        await entries.start(children, groups, this.#settings);
      }
      await this.#warmUp(cells[0], groups, entries, children);
      const figures: CellFigures[] = [];
      for (const cell of cells) {
        const used = groups.filter(
          ({options}) => options.noisiness === cell.noisiness,
        );
        figures.push(await this.#runCell(cell, used, entries, children));
      }
      return figures;
    } finally {
      await children.stop();
    }
  }

  async #runCell(
    cell: Cell,
    used: readonly UpstreamGroup[],
    entries: EntryGroup,
    children: ChildGroup,
  ): Promise<CellFigures> {
    const deployment = DEPLOYMENTS[cell.deployment];
    const ratePerSecond = toRate(deployment, cell, this.#settings);
    await Promise.all(used.map(group => group.setReportLag(cell.reportLagMs)));
    const results = await this.#runCallers(
      ratePerSecond,
      this.#settings,
      used,
      entries,
      children,
    );
    const figures = toCellFigures(
      cell,
      ratePerSecond,
      results,
      this.#settings.disturbedLatenessMs,
    );
    this.#onProgress(describe(figures));
    return figures;
  }

  /** Lets new processes compile and connect. */
  async #warmUp(
    cell: Cell,
    groups: readonly UpstreamGroup[],
    entries: EntryGroup,
    children: ChildGroup,
  ): Promise<void> {
    const {isDirect, entryWarmUpMs} = this.#settings;
    if (isDirect) {
      return;
    }
    const rate = toRate(DEPLOYMENTS[cell.deployment], cell, this.#settings);
    const timing = {warmUpMs: 0, rounds: 1, roundMs: entryWarmUpMs};
    const lowRate = rate / groups.length;
    await this.#runCallers(lowRate, timing, groups, entries, children);
  }

  #runCallers(
    ratePerSecond: number,
    timing: RoundTiming,
    used: readonly UpstreamGroup[],
    entries: EntryGroup,
    children: ChildGroup,
  ): Promise<readonly ArmResult[]> {
    const {seed, arrivals, timeoutMs} = this.#settings;
    const startAtMs = Date.now() + CALLER_START_MS;
    const results = used.map(async group => {
      const settings: CallerSettings = {
        seed,
        arrivals,
        ratePerSecond,
        startAtMs,
        warmUpMs: timing.warmUpMs,
        rounds: timing.rounds,
        roundMs: timing.roundMs,
        timeoutMs,
        target: this.#toTarget(group, entries),
      };
      const result = await this.#runCaller(settings, children);
      return {arm: group.options.arm, result};
    });
    return Promise.all(results);
  }

  async #runCaller(
    settings: CallerSettings,
    children: ChildGroup,
  ): Promise<CallerResult> {
    const file = children.writeSettings(settings);
    const caller = children.start(CALLER_PROGRAM, [file]);
    const {warmUpMs, rounds, roundMs, timeoutMs} = settings;
    const longestMs = warmUpMs + rounds * roundMs + timeoutMs + CALLER_GRACE_MS;
    const line = await caller.firstLine(longestMs);
    return callerResultSchema.parse(JSON.parse(line));
  }

  #toTarget(
    group: UpstreamGroup,
    entries: EntryGroup,
  ): CallerSettings['target'] {
    const {arm, deployment} = group.options;
    if (!this.#settings.isDirect) {
      const addresses = [...entries.addresses];
      const path = `/${toServiceName(group)}/lookup`;
      return {kind: 'addresses', addresses, path};
    }
    return {
      kind: 'direct',
      policy: arm === 'oracle' ? 'random' : arm,
      upstreams: [...group.upstreams],
      entryCount: deployment.entries,
      isHedged: this.#settings.hedgedArms.includes(arm),
    };
  }
}

function createGroups(
  deployment: Deployment,
  cells: readonly Cell[],
  arms: readonly ArmName[],
): readonly UpstreamGroup[] {
  const noisinesses = new Set(cells.map(cell => cell.noisiness));
  const network = createNetwork();
  const pairs: ReadonlyArray<[Noisiness, ArmName]> = [...noisinesses].flatMap(
    noisiness => arms.map((arm): [Noisiness, ArmName] => [noisiness, arm]),
  );
  return pairs.map(
    ([noisiness, arm], index) =>
      new UpstreamGroup({
        deployment,
        arm,
        noisiness,
        network,
        port: FIRST_PORT + index,
      }),
  );
}

/** First three octets of loopback addresses that belong to this process. */
export function createNetwork(): string {
  return `127.${64 + (process.pid % 128)}.${(process.pid >> 7) % 256}`;
}

function toRate(
  deployment: Deployment,
  cell: Cell,
  settings: PolicySettings,
): number {
  const slots = deployment.workers * deployment.slots;
  const capacity = (slots * SECOND_MS) / settings.serviceMeanMs;
  return (capacity * cell.loadPercent) / 100;
}

function describe({
  cell,
  arms,
  disturbedRounds,
  isDisturbed,
}: CellFigures): string {
  const {deployment, loadPercent, noisiness, reportLagMs} = cell;
  const head = `${deployment} ${loadPercent} % ${noisiness}, reports ${reportLagMs} ms old, disturbed rounds: ${disturbedRounds.length}${isDisturbed ? ', not judged' : ''}`;
  const lines = arms.map(
    ({arm, latency, refused, failed, p999ToBase, p999ToOracle, lateness}) =>
      `  ${arm.padEnd(21)} p50 ${latency.p50Ms} p99 ${latency.p99Ms} p99.9 ${latency.p999Ms} ms` +
      ` x${p999ToBase.whole} [${p999ToBase.lowestOfPairs}..${p999ToBase.highestOfPairs}]` +
      ` oracle x${p999ToOracle.whole} refused ${refused} failed ${failed} late p99 ${lateness.p99Ms}`,
  );
  return [head, ...lines].join('\n');
}
