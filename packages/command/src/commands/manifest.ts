/** Commands about the manifest. */

import {parseManifest} from '@wasabidyke/manifest';
import type {Command} from 'commander';
import {formatExamples, type CommandContext} from '../command-context.js';
import {
  addConnectionOptions,
  openConnection,
  type ConnectionOptions,
} from '../connection.js';
import {ExitStatus, toExitStatus} from '../exit-status.js';
import {readManifestFile} from '../manifest-file.js';
import type {Output} from '../output.js';
import {reportCheck, type CheckOptions} from './report-check.js';
import {addSubmit} from './submit.js';
import {addView, manifestStatusView} from './views.js';

interface ShowOptions extends ConnectionOptions {
  readonly json?: boolean;
}

/** Adds `manifest` and its commands. */
export function addManifestCommands(
  program: Command,
  context: CommandContext,
): void {
  const manifest = program
    .command('manifest')
    .description('check, submit and show the manifest')
    .addHelpText(
      'after',
      formatExamples([
        'manifest check manifest.jsonc',
        'manifest submit manifest.jsonc --based-on 7',
        'manifest status',
      ]),
    );
  addCheck(manifest, context);
  addSubmit(manifest, context);
  addShow(manifest, context);
  addView(manifest, manifestStatusView, context);
}

function addCheck(manifest: Command, context: CommandContext): void {
  manifest
    .command('check <file>')
    .description('check a manifest without submitting it')
    .option('--json', 'write findings as JSON')
    .addHelpText('after', formatExamples(['manifest check manifest.jsonc']))
    .action(async (file: string, options: CheckOptions) =>
      context.finish(await checkManifest(file, options, context.output)),
    );
}

function addShow(manifest: Command, context: CommandContext): void {
  addConnectionOptions(manifest.command('show'))
    .description('show the manifest in force at an entry')
    .option('--json', 'write its whole record as JSON')
    .addHelpText(
      'after',
      formatExamples(['manifest show', 'manifest show > manifest.jsonc']),
    )
    .action(async (options: ShowOptions) =>
      context.finish(await showManifest(options, context)),
    );
}

async function checkManifest(
  file: string,
  {json}: CheckOptions,
  output: Output,
): Promise<ExitStatus> {
  const text = await readManifestFile(file);
  if (text.isErr()) {
    output.error(text.error);
    return ExitStatus.BAD_INPUT;
  }
  const parsed = parseManifest(file, text.value);
  return reportCheck(file, parsed.isErr() ? parsed.error : [], json, output);
}

async function showManifest(
  options: ShowOptions,
  {output, environment}: CommandContext,
): Promise<ExitStatus> {
  const connection = await openConnection(options, environment);
  if (connection.isErr()) {
    output.error(connection.error);
    return ExitStatus.BAD_INPUT;
  }
  const record = await connection.value.use(options.entry, client =>
    client.readManifest(),
  );
  if (record.isErr()) {
    output.error(record.error.message);
    return toExitStatus(record.error);
  }
  if (options.json) {
    output.writeJson(record.value);
    return ExitStatus.DONE;
  }
  const {revision, submission, body} = record.value;
  output.info(`Revision ${revision}, submission ${submission}.`);
  output.writeText(body);
  return ExitStatus.DONE;
}
