/** Commands that show what one entry knows. */

import type {
  EntryRow,
  LoadWatchRates,
  LoadWatchStatus,
  ManifestStatus,
  ManifestStatusRow,
  OperatorClient,
  OperatorError,
  UpstreamRow,
} from '@wasabidyke/operator';
import type {Result} from '@wasabidyke/shared';
import type {Command} from 'commander';
import {formatExamples, type CommandContext} from '../command-context.js';
import {
  addConnectionOptions,
  openConnection,
  type ConnectionOptions,
} from '../connection.js';
import {ExitStatus, toExitStatus} from '../exit-status.js';
import {formatTable, type Column} from '../table.js';

/** A command that asks one entry and shows the answer. */
export interface View<Answer> {
  readonly name: string;
  readonly description: string;
  readonly examples: readonly string[];
  readonly ask: (
    client: OperatorClient,
  ) => Promise<Result<Answer, OperatorError>>;
  readonly format: (answer: Answer) => string;
}

interface ViewOptions extends ConnectionOptions {
  readonly json?: boolean;
}

/** The revision in force at every entry. */
export const manifestStatusView: View<ManifestStatus> = {
  name: 'status',
  description: 'show the revision in force at every entry',
  examples: ['manifest status', 'manifest status --entry 192.0.2.7:8082'],
  ask: client => client.readManifestStatus(),
  format: ({entries}) => formatTable(MANIFEST_STATUS_COLUMNS, entries),
};

/** Every entry that the asked one knows. */
export const entriesView: View<readonly EntryRow[]> = {
  name: 'entries',
  description: 'show every entry that the asked one knows',
  examples: ['entries', 'entries --json'],
  ask: client => client.listEntries(),
  format: entries => formatTable(ENTRY_COLUMNS, entries),
};

/** Every upstream as the asked entry sees it. */
export const upstreamsView: View<readonly UpstreamRow[]> = {
  name: 'upstreams',
  description: 'show every upstream as the asked entry sees it',
  examples: ['upstreams', 'upstreams --entry 192.0.2.7:8082 --json'],
  ask: client => client.listUpstreams(),
  format: upstreams => formatTable(UPSTREAM_COLUMNS, upstreams),
};

/** The budget for watching load and its use. */
export const loadWatchView: View<LoadWatchStatus> = {
  name: 'load-watch',
  description: "show the budget for watching load, the entry's share and use",
  examples: ['load-watch', 'load-watch --json'],
  ask: client => client.readLoadWatch(),
  format: formatLoadWatch,
};

/** Adds the command of a view. */
export function addView<Answer>(
  parent: Command,
  view: View<Answer>,
  context: CommandContext,
): void {
  addConnectionOptions(parent.command(view.name))
    .description(view.description)
    .option('--json', 'write JSON')
    .addHelpText('after', formatExamples(view.examples))
    .action(async (options: ViewOptions) =>
      context.finish(await showView(view, options, context)),
    );
}

async function showView<Answer>(
  view: View<Answer>,
  options: ViewOptions,
  {output, environment}: CommandContext,
): Promise<ExitStatus> {
  const connection = await openConnection(options, environment);
  if (connection.isErr()) {
    output.error(connection.error);
    return ExitStatus.BAD_INPUT;
  }
  const answer = await connection.value.use(options.entry, view.ask);
  if (answer.isErr()) {
    output.error(answer.error.message);
    return toExitStatus(answer.error);
  }
  if (options.json) {
    output.writeJson(answer.value);
  } else {
    output.writeText(view.format(answer.value));
  }
  return ExitStatus.DONE;
}

const MANIFEST_STATUS_COLUMNS: ReadonlyArray<Column<ManifestStatusRow>> = [
  {title: 'ENTRY', read: row => row.entry},
  {title: 'REGION', read: row => row.region},
  {title: 'ZONE', read: row => row.zone},
  {title: 'REVISION', read: row => row.revision},
  {title: 'AGE MS', read: row => Math.round(row.ageMs)},
];

const ENTRY_COLUMNS: ReadonlyArray<Column<EntryRow>> = [
  {title: 'ENTRY', read: row => row.entry},
  {title: 'STATE', read: row => row.state},
  {title: 'REGION', read: row => row.region},
  {title: 'ZONE', read: row => row.zone},
  {title: 'ADDRESS', read: row => row.address},
  {title: 'OPERATORS', read: row => row.operatorAddress ?? null},
  {title: 'REVISION', read: row => row.revision},
  {title: 'AGE MS', read: row => Math.round(row.ageMs)},
];

const UPSTREAM_COLUMNS: ReadonlyArray<Column<UpstreamRow>> = [
  {title: 'SERVICE', read: row => row.service},
  {title: 'UPSTREAM', read: row => row.name},
  {title: 'ADDRESS', read: row => row.address},
  {title: 'REGION', read: row => row.region},
  {title: 'ZONE', read: row => row.zone},
  {title: 'STATE', read: row => row.state},
  {title: 'IN FLIGHT', read: row => row.inFlight},
  {title: 'LATENCY MS', read: row => roundTenth(row.latencyMs)},
  {title: 'REPORT AGE MS', read: row => roundTenth(row.reportAgeMs)},
  {title: 'CONNECTIONS', read: row => row.connections},
];

interface RateRow {
  readonly what: string;
  readonly rates: LoadWatchRates;
}

const RATE_COLUMNS: ReadonlyArray<Column<RateRow>> = [
  {title: 'PER SECOND', read: row => row.what},
  {title: 'REQUESTS', read: row => roundTenth(row.rates.requestsPerSecond)},
  {title: 'BYTES', read: row => roundTenth(row.rates.bytesPerSecond)},
  {
    title: 'CROSS-REGION BYTES',
    read: row => roundTenth(row.rates.crossRegionBytesPerSecond),
  },
];

function formatLoadWatch(status: LoadWatchStatus): string {
  const table = formatTable(RATE_COLUMNS, [
    {what: 'budget', rates: status.budget},
    {what: 'share', rates: status.share},
    {what: 'spent', rates: toRates(status)},
  ]);
  return `${status.preference}; ${status.withheld} withheld\n${table}`;
}

function toRates({spent, spentOverMs}: LoadWatchStatus): LoadWatchRates {
  const perSecond = spentOverMs > 0 ? 1_000 / spentOverMs : 0;
  return {
    requestsPerSecond: spent.requests * perSecond,
    bytesPerSecond: spent.bytes * perSecond,
    crossRegionBytesPerSecond: spent.crossRegionBytes * perSecond,
  };
}

function roundTenth(value: number | null): number | null {
  return value === null ? null : Math.round(value * 10) / 10;
}
