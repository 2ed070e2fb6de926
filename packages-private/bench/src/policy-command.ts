/** The command `measure --experiment policy`: prints one JSON document. */

import {writeFileSync} from 'node:fs';
import {SECOND_MS} from '@wasabidyke/shared';
import {Command, Option} from 'commander';
import {arrivalPatternSchema} from './arrivals.js';
import {deploymentNameSchema, type DeploymentName} from './deployment.js';
import {readMachine} from './machine.js';
import {createReportPage} from './report-page.js';
import {PolicyExperiment} from './policy-experiment.js';
import {checkTargets, type PolicyResult} from './policy-result.js';
import {
  ARMS,
  BASE_ARM,
  createAllCells,
  DEFAULT_CELLS,
  DEFAULT_SETTINGS,
  type Cell,
  type PolicySettings,
} from './policy-settings.js';

/** The arm that the targets are set for. */
const TARGET_ARM = 'hot-cold';

interface MeasureOptions {
  readonly experiment: 'policy';
  readonly seed: string;
  readonly json: boolean;
  readonly report?: string;
  readonly direct: boolean;
  readonly deployment?: DeploymentName;
  readonly arms?: string;
  readonly hedge: string;
  readonly load?: string;
  readonly noisiness?: string;
  readonly lag?: string;
  readonly all: boolean;
  readonly arrivals: PolicySettings['arrivals'];
  readonly rounds: string;
  readonly roundMs: string;
  readonly serviceMs: string;
}

const options = readOptions();
const settings = toSettings(options);
const machine = readMachine();
const startedAt = new Date();
const experiment = new PolicyExperiment(settings, line => console.error(line));
const cells = await experiment.run();
const result: PolicyResult = {
  experiment: options.experiment,
  command: `npm run measure -- ${process.argv.slice(2).join(' ')}`,
  startedAt: startedAt.toISOString(),
  durationSeconds: (Date.now() - startedAt.getTime()) / SECOND_MS,
  machine,
  settings,
  cells,
  targets: checkTargets(cells, TARGET_ARM),
};
if (options.json) {
  process.stdout.write(`${JSON.stringify(result, null, 1)}\n`);
}

if (options.report !== undefined) {
  writeFileSync(options.report, createReportPage(result));
}

function readOptions(): MeasureOptions {
  return new Command()
    .name('measure')
    .addOption(
      new Option('--experiment <name>', 'experiment to run')
        .choices(['policy'])
        .makeOptionMandatory(),
    )
    .option('--seed <number>', 'seed of all generators', '1')
    .option('--json', 'print the result as one JSON document', false)
    .option('--report <file>', 'write a page with plots')
    .option('--direct', 'select in the load tool, without entries', false)
    .addOption(
      new Option('--deployment <name>', 'only this deployment').choices(
        deploymentNameSchema.options,
      ),
    )
    .option('--arms <names>', 'only these arms, the base and the oracle')
    .option('--hedge <names>', 'arms that hedge', '')
    .option('--load <percents>', 'only these loads, such as 50,75')
    .option('--noisiness <names>', 'only these of calm,noisy')
    .option('--lag <milliseconds>', 'only these ages of reports')
    .option('--all', 'every cell in place of the usual ones', false)
    .addOption(
      new Option('--arrivals <pattern>', 'how requests arrive')
        .choices(arrivalPatternSchema.options)
        .default(DEFAULT_SETTINGS.arrivals),
    )
    .option('--rounds <number>', 'rounds', String(DEFAULT_SETTINGS.rounds))
    .option(
      '--round-ms <milliseconds>',
      'length of a round',
      String(DEFAULT_SETTINGS.roundMs),
    )
    .option(
      '--service-ms <milliseconds>',
      'mean service time; neighbours are busy in proportion',
      String(DEFAULT_SETTINGS.serviceMeanMs),
    )
    .parse()
    .opts<MeasureOptions>();
}

function toSettings(given: MeasureOptions): PolicySettings {
  return {
    ...DEFAULT_SETTINGS,
    seed: Number(given.seed),
    isDirect: given.direct,
    arms: ARMS.filter(
      arm => arm === BASE_ARM || arm === 'oracle' || isAmong(given.arms, arm),
    ),
    hedgedArms: ARMS.filter(arm => isAmong(given.hedge, arm)),
    arrivals: given.arrivals,
    rounds: Number(given.rounds),
    roundMs: Number(given.roundMs),
    serviceMeanMs: Number(given.serviceMs),
    cells: selectCells(given),
  };
}

function selectCells(given: MeasureOptions): readonly Cell[] {
  const isFiltered = [given.load, given.noisiness, given.lag].some(
    list => list !== undefined,
  );
  const cells =
    given.all || isFiltered
      ? deploymentNameSchema.options.flatMap(createAllCells)
      : DEFAULT_CELLS;
  return cells.filter(
    cell =>
      isAmong(given.deployment, cell.deployment) &&
      isAmong(given.load, String(cell.loadPercent)) &&
      isAmong(given.noisiness, cell.noisiness) &&
      isAmong(given.lag, String(cell.reportLagMs)),
  );
}

function isAmong(list: string | undefined, value: string): boolean {
  return list === undefined || list.split(',').includes(value);
}
