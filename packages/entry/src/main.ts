#!/usr/bin/env node
/** The command `wasabidyke-entry`. */

import {Command} from 'commander';
import {runEntry} from './run-entry.js';

interface Flags {
  readonly settings: string;
}

const program = new Command('wasabidyke-entry')
  .description('Runs one entry of the wasabidyke load balancer.')
  .requiredOption('--settings <file>', 'settings, JSON with comments')
  .action((flags: Flags) => runEntry(flags.settings))
  .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : 2));

await program.parseAsync();
