/** The program: all commands, and how a run ends. */

import {Command, CommanderError} from 'commander';
import {formatExamples, type CommandContext} from './command-context.js';
import {addExplainCommand} from './commands/explain.js';
import {addManifestCommands} from './commands/manifest.js';
import {addSettingsCommands} from './commands/settings.js';
import {addTimeLineCommand} from './commands/time-line.js';
import {
  addView,
  entriesView,
  loadWatchView,
  upstreamsView,
} from './commands/views.js';
import {ExitStatus} from './exit-status.js';
import type {Output} from './output.js';

const STATUS_HELP = `
Exit statuses:
  0  done
  1  refused or not sent; nothing was changed
  2  wrong use, or input with findings
  3  no usable answer; a submission may or may not be in force`;

/** Runs one command. @param words What the user typed after the program's name. */
export async function runCommand(
  words: readonly string[],
  environment: NodeJS.ProcessEnv,
  output: Output,
): Promise<ExitStatus> {
  let status: ExitStatus = ExitStatus.DONE;
  const finish = (result: ExitStatus) => {
    status = result;
  };
  const program = createProgram({output, environment, finish});
  try {
    await program.parseAsync(words, {from: 'user'});
  } catch (error) {
    if (!(error instanceof CommanderError)) {
      throw error;
    }
    return error.exitCode === 0 ? ExitStatus.DONE : ExitStatus.BAD_INPUT;
  }
  return status;
}

function createProgram(context: CommandContext): Command {
  const {output} = context;
  const program = new Command('wasabidyke')
    .description('Operates the entries of a wasabidyke load balancer.')
    .exitOverride()
    .configureOutput({
      writeOut: text => output.writeText(text),
      writeErr: text => output.writeMessage(text),
    })
    .addHelpText(
      'after',
      formatExamples([
        'manifest check manifest.jsonc',
        'entries --entry 192.0.2.7:8082',
        'time-line --format trace-event > trace.json',
      ]),
    )
    .addHelpText('afterAll', STATUS_HELP);
  addManifestCommands(program, context);
  addView(program, entriesView, context);
  addView(program, upstreamsView, context);
  addView(program, loadWatchView, context);
  addTimeLineCommand(program, context);
  addExplainCommand(program, context);
  addSettingsCommands(program, context);
  return program;
}
