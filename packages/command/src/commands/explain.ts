/** Tells the story of one request from the log files of all entries. */

import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {Command} from 'commander';
import {z} from 'zod';
import {formatExamples, type CommandContext} from '../command-context.js';
import {ExitStatus} from '../exit-status.js';

const lineSchema = z.looseObject({
  time: z.string(),
  entry: z.string(),
  event: z.string(),
  request: z.string().optional(),
});

/** A line of a log. */
export type LogLine = z.infer<typeof lineSchema>;

/** Events that change what an entry believes; the latest of each kind before a request is part of its story. */
const BELIEFS: ReadonlySet<string> = new Set([
  'process.started',
  'process.serving',
  'process.stopping',
  'configuration.applied',
  'settings.applied',
  'store.lost',
  'store.regained',
  'feeder.lost',
  'zone.evacuated',
  'zone.taken-back',
]);

/** Events of an upstream that explain why a request went there or failed there. */
const UPSTREAM_EVENTS: ReadonlySet<string> = new Set([
  'upstream.joined',
  'upstream.leaving',
]);

/** Fields that say what a line is rather than what happened. */
const FRAME_FIELDS: ReadonlySet<string> = new Set([
  'level',
  'time',
  'entry',
  'event',
  'request',
]);

/** Adds `explain`. */
export function addExplainCommand(
  program: Command,
  context: CommandContext,
): void {
  program
    .command('explain <request> <files...>')
    .description('tell the story of one request from log files of all entries')
    .addHelpText('after', formatExamples(['explain 9c41d07be2a35f68 *.log']))
    .action(async (request: string, files: readonly string[]) =>
      context.finish(await explain(request, files, context)),
    );
}

async function explain(
  request: string,
  files: readonly string[],
  {output}: CommandContext,
): Promise<ExitStatus> {
  let lines: readonly LogLine[];
  try {
    lines = await readLogFiles(files);
  } catch (error) {
    output.writeMessage(`A log file can't be read: ${String(error)}`);
    return ExitStatus.BAD_INPUT;
  }
  const story = explainRequest(request, lines);
  if (story.length === 0) {
    output.writeMessage(
      `No line tells of the request "${request}": it was served at the first try, or its lines were left out.`,
    );
    return ExitStatus.REFUSED;
  }
  output.writeText(story.map(formatLogLine).join('\n'));
  return ExitStatus.DONE;
}

/** Picks the lines that explain a request, in order of time. */
export function explainRequest(
  request: string,
  lines: readonly LogLine[],
): readonly LogLine[] {
  const ordered = lines.toSorted((left, right) =>
    left.time < right.time ? -1 : Number(left.time > right.time),
  );
  const own = ordered.filter(line => line.request === request);
  const story = new Set([...findBeliefs(own, ordered), ...own]);
  return ordered.filter(line => story.has(line));
}

/** The latest lines before the end of a request that tell what its entries believed. */
function findBeliefs(
  own: readonly LogLine[],
  ordered: readonly LogLine[],
): readonly LogLine[] {
  const entries = new Set(own.map(({entry}) => entry));
  const upstreams = new Set(own.map(({upstream}) => upstream));
  const endedAt = own.at(-1)?.time ?? '';
  const beliefs = new Map<string, LogLine>();
  for (const line of ordered) {
    const {entry, event, upstream, zone, time} = line;
    const isAbout =
      BELIEFS.has(event) ||
      (UPSTREAM_EVENTS.has(event) && upstreams.has(upstream));
    if (isAbout && entries.has(entry) && time <= endedAt) {
      const subject = `${String(upstream)} ${String(zone)}`;
      beliefs.set(`${entry} ${event} ${subject}`, line);
    }
  }
  return [...beliefs.values()];
}

/** One line of a story as text. */
export function formatLogLine(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name]) => !FRAME_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return `${line.time} ${line.entry} ${line.event} ${fields.join(' ')}`;
}

/** Reads the lines of log files; what is no line of a log is passed over. */
export async function readLogFiles(
  files: readonly string[],
): Promise<readonly LogLine[]> {
  const lines: LogLine[] = [];
  for (const file of files) {
    const input = createReadStream(file, 'utf8');
    for await (const text of createInterface({input})) {
      const line = parseLogLine(text);
      if (line !== undefined) {
        lines.push(line);
      }
    }
  }
  return lines;
}

/** Other text may stand before a line, such as a collector's own time. */
function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start === -1) {
    return undefined;
  }
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // A cut line, as at the end of a file that is still written.
    return undefined;
  }
}
