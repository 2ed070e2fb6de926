/** The command `measure --experiment added-latency`: prints one JSON document. */

import {writeFileSync} from 'node:fs';
import {SECOND_MS} from '@wasabidyke/shared';
import {Command} from 'commander';
import {
  ADDED_LATENCY_SETTINGS,
  ADDED_LATENCY_TARGET_MS,
  AddedLatencyExperiment,
} from './added-latency-experiment.js';
import {createAddedLatencyPage} from './added-latency-page.js';
import {readMachine} from './machine.js';

interface AddedLatencyOptions {
  readonly seed: string;
  readonly json: boolean;
  readonly report?: string;
  readonly rates: string;
  readonly pairs: string;
}

const options = new Command()
  .name('measure')
  .requiredOption('--experiment <name>', 'added-latency')
  .option('--seed <number>', 'seed of all generators', '1')
  .option('--json', 'print the result as one JSON document', false)
  .option('--report <file>', 'write a page with plots')
  .option(
    '--rates <numbers>',
    'calls a second, one level after the other',
    ADDED_LATENCY_SETTINGS.ratesPerSecond.join(','),
  )
  .option(
    '--pairs <number>',
    'pairs at each rate',
    String(ADDED_LATENCY_SETTINGS.pairs),
  )
  .parse()
  .opts<AddedLatencyOptions>();

const settings = {
  ...ADDED_LATENCY_SETTINGS,
  seed: Number(options.seed),
  ratesPerSecond: options.rates.split(',').map(Number),
  pairs: Number(options.pairs),
};
const machine = readMachine();
const startedAt = new Date();
const experiment = new AddedLatencyExperiment(settings, line =>
  console.error(line),
);
const rates = await experiment.run();
const result = {
  experiment: 'added-latency',
  command: `npm run measure -- ${process.argv.slice(2).join(' ')}`,
  startedAt: startedAt.toISOString(),
  durationSeconds: (Date.now() - startedAt.getTime()) / SECOND_MS,
  machine,
  settings,
  targetMs: ADDED_LATENCY_TARGET_MS,
  rates,
};
if (options.json) {
  process.stdout.write(`${JSON.stringify(result, null, 1)}\n`);
}
if (options.report !== undefined) {
  writeFileSync(options.report, createAddedLatencyPage(result));
}
