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
import {toCellFigures, type CellFigures} from './policy-result.js';
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
      const figures: CellFigures[] = [];
      for (const cell of cells) {
        figures.push(await this.#runCell(deployment, cell, groups, children));
      }
      return figures;
    } finally {
      await children.stop();
    }
  }

  async #runCell(
    deployment: Deployment,
    cell: Cell,
    groups: readonly UpstreamGroup[],
    children: ChildGroup,
  ): Promise<CellFigures> {
    const ratePerSecond = toRate(deployment, cell, this.#settings);
    const used = groups.filter(
      ({options}) => options.noisiness === cell.noisiness,
    );
    await Promise.all(used.map(group => group.setReportLag(cell.reportLagMs)));
    const startAtMs = Date.now() + CALLER_START_MS;
    const results = await Promise.all(
      used.map(async group => ({
        arm: group.options.arm,
        result: await this.#runCaller(
          this.#toCallerSettings(group, ratePerSecond, startAtMs),
          children,
        ),
      })),
    );
    const figures = toCellFigures(cell, ratePerSecond, results);
    this.#onProgress(describe(figures));
    return figures;
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

  #toCallerSettings(
    group: UpstreamGroup,
    ratePerSecond: number,
    startAtMs: number,
  ): CallerSettings {
    const {seed, arrivals, warmUpMs, rounds, roundMs, timeoutMs} =
      this.#settings;
    const {arm, deployment} = group.options;
    return {
      seed,
      arrivals,
      ratePerSecond,
      startAtMs,
      warmUpMs,
      rounds,
      roundMs,
      timeoutMs,
      target: {
        kind: 'direct',
        policy: arm === 'oracle' ? 'random' : arm,
        upstreams: [...group.upstreams],
        entryCount: deployment.entries,
        isHedged: this.#settings.hedgedArms.includes(arm),
      },
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

function describe({cell, arms}: CellFigures): string {
  const {deployment, loadPercent, noisiness, reportLagMs} = cell;
  const head = `${deployment} ${loadPercent} % ${noisiness}, reports ${reportLagMs} ms old`;
  const lines = arms.map(
    ({arm, latency, refused, failed, p999ToBase, p999ToOracle, lateness}) =>
      `  ${arm.padEnd(21)} p50 ${latency.p50Ms} p99 ${latency.p99Ms} p99.9 ${latency.p999Ms} ms` +
      ` x${p999ToBase.whole} [${p999ToBase.lowestOfPairs}..${p999ToBase.highestOfPairs}]` +
      ` oracle x${p999ToOracle.whole} refused ${refused} failed ${failed} late p99 ${lateness.p99Ms}`,
  );
  return [head, ...lines].join('\n');
}
