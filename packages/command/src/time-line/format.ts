/** Ways to write a merged time line. */

import type {TimeLineEvent} from '@wasabidyke/shared';
import {formatTable, type Column} from '../table.js';

/** Names of the formats. */
export const TIME_LINE_FORMATS = [
  'table',
  'json-lines',
  'trace-event',
] as const;

/** Name of a format. */
export type TimeLineFormatName = (typeof TIME_LINE_FORMATS)[number];

/** A way to write a merged time line. */
export abstract class TimeLineFormat {
  /** Formats events that are in order already. */
  abstract format(events: readonly TimeLineEvent[]): string;
}

/** The format of this name. */
export function createTimeLineFormat(name: TimeLineFormatName): TimeLineFormat {
  switch (name) {
    case 'table':
      return new TableFormat();
    case 'json-lines':
      return new JsonLinesFormat();
    case 'trace-event':
      return new TraceEventFormat();
  }
}

const COLUMNS: ReadonlyArray<Column<TimeLineEvent>> = [
  {
    title: 'TIME',
    read: ({stamp}) => new Date(stamp.wallTime).toISOString(),
  },
  {title: 'ORDER', read: ({stamp}) => stamp.counter},
  {title: 'PROCESS', read: event => event.process},
  {title: 'EVENT', read: event => event.kind},
  {title: 'SUBJECT', read: event => event.subject},
  {title: 'DETAIL', read: event => event.detail},
];

class TableFormat extends TimeLineFormat {
  override format(events: readonly TimeLineEvent[]): string {
    return formatTable(COLUMNS, events);
  }
}

class JsonLinesFormat extends TimeLineFormat {
  override format(events: readonly TimeLineEvent[]): string {
    return events.map(event => `${JSON.stringify(event)}\n`).join('');
  }
}

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** The trace-event format that the trace viewers of browsers open. */
class TraceEventFormat extends TimeLineFormat {
  override format(events: readonly TimeLineEvent[]): string {
    const processes = [...new Set(events.map(event => event.process))];
    const names = processes.map((name, index) => ({
      ph: 'M',
      name: 'process_name',
      pid: index + 1,
      args: {name},
    }));
    const instants = events.map(event => ({
      ph: 'i',
      s: 'p',
      name: event.kind,
      pid: processes.indexOf(event.process) + 1,
      tid: 1,
      ts: toMicroseconds(event),
      args: {subject: event.subject, detail: event.detail},
    }));
    return `${JSON.stringify({traceEvents: [...names, ...instants]})}\n`;
  }
}

// Events of one millisecond stay in order within that millisecond.
function toMicroseconds({stamp}: TimeLineEvent): number {
  const within = Math.min(stamp.counter, MICROSECONDS_PER_MILLISECOND - 1);
  return stamp.wallTime * MICROSECONDS_PER_MILLISECOND + within;
}
