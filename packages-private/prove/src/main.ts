/** Proves the promises under failure: `npm run prove -- --seed N`. */

import {mkdirSync} from 'node:fs';
import {join} from 'node:path';
import {PROMISES, type PromiseName} from '@wasabidyke/stand-ins';
import {Command, InvalidArgumentError, Option} from 'commander';
import {countViolations, formatReport} from './report.js';
import {Runner} from './runner.js';
import {drawSchedule} from './schedule/draw.js';
import {formatSchedule} from './schedule/schedule.js';
import {createLayout} from './site/layout.js';
import {RunDirectory} from './site/programs.js';
import {WEAKENINGS} from './weakened/index.js';

const FAILED_STATUS = 1;

interface Options {
  readonly seed: number;
  readonly promise?: PromiseName;
  readonly weakened?: string;
  readonly list?: boolean;
  readonly directory: string;
}

const options = new Command('prove')
  .description(
    'Runs a site of real processes under faults and checks its history.',
  )
  .option('--seed <number>', 'seed of the schedule', parseSeed, 1)
  .addOption(
    new Option('--promise <name>', 'prove this one alone').choices(PROMISES),
  )
  .addOption(
    new Option(
      '--weakened <name>',
      'put a naive part in place of a mechanism; its promise must be violated',
    ).choices(Object.keys(WEAKENINGS)),
  )
  .option('--list', 'print the promises and the naive parts')
  .option('--directory <path>', 'where runs are kept', '.runs')
  .parse()
  .opts<Options>();

if (options.list) {
  printList();
} else {
  await prove();
}

async function prove(): Promise<void> {
  const {seed, weakened} = options;
  const promise =
    options.promise ??
    (weakened === undefined ? undefined : WEAKENINGS[weakened].promise);
  const schedule = drawSchedule(seed, promise, createLayout());
  console.log(formatSchedule(schedule));
  const parts = ['prove', seed, promise ?? 'all', weakened ?? 'whole'];
  const path = join(options.directory, `${parts.join('-')}-${process.pid}`);
  mkdirSync(path, {recursive: true});
  const directory = new RunDirectory(path);
  const report = await new Runner(schedule, directory, weakened).run();
  const promises = promise === undefined ? PROMISES : [promise];
  console.log(`history: ${join(path, 'history.json-lines')}`);
  console.log(formatReport(report, promises));
  process.exit(countViolations(report, promises) > 0 ? FAILED_STATUS : 0);
}

function printList(): void {
  for (const promise of PROMISES) {
    console.log(`promise ${promise}`);
  }
  for (const [name, {promise, description}] of Object.entries(WEAKENINGS)) {
    console.log(`weakened ${name}: ${promise}; ${description}`);
  }
}

function parseSeed(text: string): number {
  const seed = Number(text);
  if (!Number.isSafeInteger(seed)) {
    throw new InvalidArgumentError('Give a whole number.');
  }
  return seed;
}
