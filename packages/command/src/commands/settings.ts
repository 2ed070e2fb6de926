/** Commands about an entry's settings. */

import {readSettings} from '@wasabidyke/operator';
import type {Command} from 'commander';
import {formatExamples, type CommandContext} from '../command-context.js';
import type {ExitStatus} from '../exit-status.js';
import type {Output} from '../output.js';
import {reportCheck, type CheckOptions} from './report-check.js';

/** Adds `settings` and its commands. */
export function addSettingsCommands(
  program: Command,
  context: CommandContext,
): void {
  const examples = formatExamples(['settings check entry.jsonc']);
  program
    .command('settings')
    .description("check an entry's settings")
    .addHelpText('after', examples)
    .command('check <file>')
    .description("check an entry's settings without starting it")
    .option('--json', 'write findings as JSON')
    .addHelpText('after', examples)
    .action(async (file: string, options: CheckOptions) =>
      context.finish(await checkSettings(file, options, context.output)),
    );
}

async function checkSettings(
  file: string,
  {json}: CheckOptions,
  output: Output,
): Promise<ExitStatus> {
  const settings = await readSettings(file);
  const findings = settings.isErr() ? settings.error : [];
  return reportCheck(file, findings, json, output);
}
