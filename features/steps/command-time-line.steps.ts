/** Steps for the merged time line of the command line. */

import assert from 'node:assert/strict';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {timeLineEventSchema, type TimeLineEvent} from '@wasabidyke/shared';
import {
  FixedOperatorService,
  createEntryRow,
} from '../support/operator-service.js';
import {run, serveEntry, type CommandWorld} from './command-line.steps.js';

interface TimeLineWorld extends CommandWorld {
  events: readonly TimeLineEvent[];
  addresses: Map<string, string>;
}

class NamedService extends FixedOperatorService {
  readonly #name: string;

  constructor(name: string) {
    super();
    this.#name = name;
  }

  override readStatus() {
    return {...super.readStatus(), entry: this.#name};
  }
}

function toEvent(row: Record<string, string>): TimeLineEvent {
  const stamp = {
    wallTime: Number(row['wall time']),
    counter: Number(row.counter),
  };
  return {stamp, process: row.entry, kind: row.kind, subject: '', detail: ''};
}

Given(
  'entries with these events',
  async function (this: TimeLineWorld, table: DataTable) {
    this.events = table.hashes().map(toEvent);
    const names = [...new Set(this.events.map(event => event.process))];
    const services = names.map(name => new NamedService(name));
    this.addresses = new Map();
    for (const [index, name] of names.entries()) {
      const address = await serveEntry(this, services[index]);
      this.addresses.set(name, address);
    }
    for (const [index, name] of names.entries()) {
      services[index].entries = names.map(each =>
        createEntryRow(each, this.addresses.get(each)),
      );
      services[index].events = this.events.filter(
        event => event.process === name,
      );
    }
  },
);

Given(
  'the entry {string} has stopped',
  async function (this: TimeLineWorld, name: string) {
    await this.commandServers[[...this.addresses.keys()].indexOf(name)].close();
  },
);

When(
  'the operator runs {string} against the entry {string}',
  async function (this: TimeLineWorld, words: string, name: string) {
    await run(this, `${words} --entry ${this.addresses.get(name)}`);
  },
);

When(
  'the operator runs {string} against the entries {string} and {string}',
  async function (
    this: TimeLineWorld,
    words: string,
    first: string,
    second: string,
  ) {
    const entries = [first, second].map(
      name => `--entry ${this.addresses.get(name)}`,
    );
    await run(this, `${words} ${entries.join(' ')}`);
  },
);

function parseLines(text: string): readonly TimeLineEvent[] {
  const lines = text.trimEnd().split('\n');
  return lines.map(line => timeLineEventSchema.parse(JSON.parse(line)));
}

Then(
  'the merged events are in the order of the table',
  function (this: TimeLineWorld) {
    assert.deepEqual(parseLines(this.run.output), this.events);
  },
);

Then(
  'the merged events are those of {string}',
  function (this: TimeLineWorld, name: string) {
    const expected = this.events.filter(event => event.process === name);
    assert.deepEqual(parseLines(this.run.output), expected);
  },
);

interface TraceEvent {
  readonly ph: string;
  readonly ts: number;
}

Then(
  'the trace has {int} named processes and {int} instants in rising order',
  function (this: TimeLineWorld, processes: number, instants: number) {
    const events: readonly TraceEvent[] = JSON.parse(
      this.run.output,
    ).traceEvents;
    const named = events.filter(({ph}) => ph === 'M');
    const times = events.filter(({ph}) => ph === 'i').map(({ts}) => ts);
    assert.deepEqual([named.length, times.length], [processes, instants]);
    assert.deepEqual(
      times,
      times.toSorted((left, right) => left - right),
    );
  },
);
