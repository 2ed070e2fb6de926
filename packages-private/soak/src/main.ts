/** The fault soak: `npm run soak -- --seed N`. */

import {existsSync} from 'node:fs';
import {join} from 'node:path';
import {Command, InvalidArgumentError} from 'commander';
import {drawSchedule} from './schedule.js';
import {runSoak} from './soak.js';

const FAILED_STATUS = 1;
const INTERRUPTED_STATUS = 130;
const PROGRAM = 'target/wasabidyke-entry.cjs';

interface Options {
  readonly seed: number;
  readonly seconds: number;
  readonly entries: number;
  readonly workers: number;
  readonly callers: number;
  readonly directory: string;
  readonly older?: string;
}

const options = new Command('soak')
  .description(
    'Runs real entries among stand-ins under faults, and judges what callers and workers saw.',
  )
  .option('--seed <number>', 'seed of the schedule', parseWhole, 1)
  .option('--seconds <number>', 'length of the run', parseWhole, 40)
  .option('--entries <number>', 'entries, each a process', parseWhole, 6)
  .option('--workers <number>', 'workers of the two services', parseWhole, 12)
  .option('--callers <number>', 'callers', parseWhole, 24)
  .option('--directory <path>', 'where runs are kept', '.runs')
  .option(
    '--older <path>',
    'program of an older build that entries begin with; see scripts/bundle-commit.mjs',
  )
  .parse()
  .opts<Options>();

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(INTERRUPTED_STATUS));
}

await soak();

async function soak(): Promise<void> {
  const {seed, seconds, directory, older, ...size} = options;
  console.log(`seed ${seed}, ${seconds} s`);
  if (!existsSync(PROGRAM)) {
    throw new Error(`${PROGRAM} is missing: build it with npm run bundle`);
  }
  const schedule = drawSchedule(seed, seconds * 1_000);
  for (const {atMs, act, forMs, subject} of schedule.steps) {
    console.log(`${atMs} ms: ${act} of ${subject} for ${forMs} ms`);
  }
  const path = join(directory, `soak-${seed}-${process.pid}`);
  const report = await runSoak({
    ...size,
    schedule,
    program: PROGRAM,
    olderProgram: older,
    directory: path,
  });
  const {violations, calls, served, arrivals} = report;
  for (const {check, text} of violations) {
    console.log(`${check}: ${text}`);
  }
  console.log(`${served} of ${calls} requests served, ${arrivals} arrivals`);
  console.log(`settings, logs and history: ${path}`);
  console.log(`violations: ${violations.length}`);
  process.exit(violations.length > 0 ? FAILED_STATUS : 0);
}

function parseWhole(text: string): number {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < 1) {
    throw new InvalidArgumentError('Give a whole number from 1 on.');
  }
  return value;
}
