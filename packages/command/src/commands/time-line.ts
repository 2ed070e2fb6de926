/** The command that merges the time lines of entries. */

import type {OperatorError} from '@wasabidyke/operator';
import type {Result, TimeLineEvent} from '@wasabidyke/shared';
import {Option, type Command} from 'commander';
import {formatExamples, type CommandContext} from '../command-context.js';
import {
  DEFAULT_ENTRY,
  ENTRY_VARIABLE,
  addTokenOptions,
  openConnection,
  parseEntry,
  type Connection,
} from '../connection.js';
import {ExitStatus, toExitStatus} from '../exit-status.js';
import {
  TIME_LINE_FORMATS,
  createTimeLineFormat,
  type TimeLineFormatName,
} from '../time-line/format.js';
import {mergeTimeLines} from '../time-line/merge.js';

/** Entries that are asked at the same time. */
const MAXIMUM_CONCURRENCY = 8;

interface TimeLineOptions {
  readonly entry?: readonly string[];
  readonly tokenFile?: string;
  readonly timeout: number;
  readonly format: TimeLineFormatName;
  readonly json?: boolean;
}

type Reading = Result<readonly TimeLineEvent[], OperatorError>;

/** Adds `time-line`. */
export function addTimeLineCommand(
  program: Command,
  context: CommandContext,
): void {
  addTokenOptions(program.command('time-line'))
    .alias('timeline')
    .description('merge the events of entries in causal order')
    .addOption(
      new Option(
        '--entry <address>',
        'entry to read, more than once for several; one alone names all others',
      )
        .argParser(collectEntries)
        .env(ENTRY_VARIABLE),
    )
    .addOption(
      new Option('--format <format>', 'how to write the events')
        .choices(TIME_LINE_FORMATS)
        .default('table'),
    )
    .option('--json', 'write JSON lines; short for --format json-lines')
    .addHelpText(
      'after',
      formatExamples([
        'time-line',
        'time-line --entry 192.0.2.7:8082 --entry 192.0.2.8:8082',
        'time-line --format trace-event > trace.json',
      ]),
    )
    .action(async (options: TimeLineOptions) =>
      context.finish(await showTimeLine(options, context)),
    );
}

async function showTimeLine(
  options: TimeLineOptions,
  {output, environment}: CommandContext,
): Promise<ExitStatus> {
  const connection = await openConnection(options, environment);
  if (connection.isErr()) {
    output.error(connection.error);
    return ExitStatus.BAD_INPUT;
  }
  const entries = options.entry ?? [DEFAULT_ENTRY];
  const addresses =
    entries.length === 1
      ? await findEntries(connection.value, entries[0])
      : [...new Set(entries)];
  const readings = await readAll(connection.value, addresses);
  const failures = readings.flatMap(reading =>
    reading.isErr() ? [reading.error] : [],
  );
  for (const {message} of failures) {
    output.warn(message);
  }
  if (failures.length === readings.length) {
    return toExitStatus(failures[0]);
  }
  const timeLines = readings.map(reading => reading.unwrapOr([]));
  const format = options.json ? 'json-lines' : options.format;
  const merged = mergeTimeLines(timeLines);
  output.writeText(createTimeLineFormat(format).format(merged));
  return failures.length > 0 ? ExitStatus.UNKNOWN : ExitStatus.DONE;
}

async function findEntries(
  connection: Connection,
  first: string,
): Promise<readonly string[]> {
  return connection.use(first, async client => {
    const status = await client.readStatus();
    const entries = await client.listEntries();
    if (status.isErr() || entries.isErr()) {
      return [first];
    }
    const others = entries.value.filter(
      ({entry}) => entry !== status.value.entry,
    );
    const addresses = others.flatMap(({operatorAddress}) =>
      operatorAddress === undefined ? [] : [operatorAddress],
    );
    return [first, ...addresses];
  });
}

async function readAll(
  connection: Connection,
  addresses: readonly string[],
): Promise<readonly Reading[]> {
  const readings: Reading[] = [];
  for (let start = 0; start < addresses.length; start += MAXIMUM_CONCURRENCY) {
    const batch = addresses.slice(start, start + MAXIMUM_CONCURRENCY);
    const read = batch.map(address =>
      connection.use(address, client => client.listEvents()),
    );
    readings.push(...(await Promise.all(read)));
  }
  return readings;
}

function collectEntries(
  text: string,
  previous: readonly string[] | undefined,
): readonly string[] {
  return [...(previous ?? []), parseEntry(text)];
}
