/** Runs the experiment `control-cost` and prints one JSON document. */

import {Command} from 'commander';
import {CONTROL_COST_SETTINGS, ControlCostExperiment} from './control-cost.js';
import {
  MANIFEST_SIZES,
  measureEntryCost,
  type EntryCostCell,
} from './entry-control-cost.js';
import {readMachine} from './machine.js';

const given = new Command()
  .name('measure')
  .requiredOption('--experiment <name>', 'control-cost')
  .option('--json', 'print the result as one JSON document', true)
  .option('--seed <number>', 'seed of all generators', '1')
  .option('--sizes <numbers>', 'numbers of entries, such as 1,12,24')
  .option('--window-ms <milliseconds>', 'length of a window', '6000')
  .parse()
  .opts<{seed: string; sizes?: string; windowMs: string}>();
const settings = {
  ...CONTROL_COST_SETTINGS,
  seed: Number(given.seed),
  windowMs: Number(given.windowMs),
  recordBytes:
    given.sizes === undefined
      ? CONTROL_COST_SETTINGS.recordBytes
      : CONTROL_COST_SETTINGS.recordBytes.slice(0, 1),
  sizes: given.sizes?.split(',').map(Number) ?? CONTROL_COST_SETTINGS.sizes,
};
const machine = readMachine();
const startedAt = new Date().toISOString();
const experiment = new ControlCostExperiment(settings, line =>
  console.error(line),
);
const cells = await experiment.run();
const entryCells: EntryCostCell[] = [];
for (const size of MANIFEST_SIZES) {
  const cell = await measureEntryCost(size);
  console.error(JSON.stringify(cell));
  entryCells.push(cell);
}
const command = `npm run measure -- ${process.argv.slice(2).join(' ')}`;
const result = {
  experiment: 'control-cost',
  command: command.trim(),
  startedAt,
  machine,
  settings,
  cells,
  entryCells,
};
process.stdout.write(`${JSON.stringify(result, null, 1)}\n`);
