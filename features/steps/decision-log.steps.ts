/** Steps for the log of decisions. */

import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {JsonDecisionLog} from '@wasabidyke/balancer';
import {runCommand, Output} from '@wasabidyke/command';
import {ManualClock, MetricRegistry} from '@wasabidyke/shared';
import {Writable} from 'node:stream';

const FLOOD = 'packages-private/stand-ins/dist/log-flood/main.js';
const SECOND_MS = 1_000;

interface LogWorld {
  lines: string[];
  clock: ManualClock;
  metrics: MetricRegistry;
  log: JsonDecisionLog;
  flood: {readonly tookMs: number; readonly dropped: number};
  folder: string | undefined;
  files: readonly string[];
  story: readonly string[];
}

Given('a log', function (this: LogWorld) {
  this.lines = [];
  this.clock = new ManualClock(SECOND_MS);
  this.metrics = new MetricRegistry();
  const destination = {
    write: (text: string) => void this.lines.push(text),
    flush: () => {},
  };
  this.log = new JsonDecisionLog(
    'entry-1',
    destination,
    this.clock,
    this.metrics,
  );
});

When(
  '{int} lines of {string} are recorded at once',
  function (this: LogWorld, count: number, event: string) {
    for (let line = 0; line < count; line++) {
      this.log.record(event, {request: `r-${line}`});
    }
  },
);

When('{int} ms pass for the log', function (this: LogWorld, passed: number) {
  this.clock.advance(passed);
});

Then(
  'at most {int} lines of {string} are written',
  function (this: LogWorld, most: number, event: string) {
    const written = this.lines.filter(line => JSON.parse(line).event === event);
    assert.ok(
      written.length > 0 && written.length <= most,
      `${written.length}`,
    );
  },
);

Then(
  'the last line tells of at least {int} lines that were left out',
  function (this: LogWorld, least: number) {
    const {leftOut} = JSON.parse(this.lines.at(-1) ?? '{}');
    assert.ok(leftOut >= least, `${leftOut}`);
  },
);

Then(
  'the counter of {string} stands at {int}',
  function (this: LogWorld, event: string, count: number) {
    const series = `wasabidyke_events_total{event="${event}"} ${count}\n`;
    assert.ok(this.metrics.render().includes(series));
  },
);

Given(
  "a process that logs {int} lines to a reader that doesn't read",
  async function (this: LogWorld, count: number) {
    const startMs = performance.now();
    const child = spawn(process.execPath, [FLOOD, String(count)], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pause();
    let told = '';
    child.stderr.on('data', chunk => (told += String(chunk)));
    await new Promise<void>(resolve => child.once('exit', () => resolve()));
    this.flood = {tookMs: performance.now() - startMs, dropped: Number(told)};
  },
);

Then(
  'it ends within {int} s and has dropped lines',
  function (this: LogWorld, seconds: number) {
    assert.ok(this.flood.tookMs < seconds * SECOND_MS);
    assert.ok(this.flood.dropped > 0);
  },
);

Given(
  'log files of two entries that a request went through',
  async function (this: LogWorld) {
    this.folder = await mkdtemp(join(tmpdir(), 'wasabidyke-log-'));
    const first = [
      line(1, 'entry-1', 'configuration.applied', {version: 3}),
      line(2, 'entry-1', 'configuration.applied', {version: 4}),
      line(3, 'entry-1', 'upstream.joined', {upstream: 'w1'}),
      line(5, 'entry-1', 'attempt.ended', {request: 'r-7', upstream: 'w1'}),
      line(6, 'entry-1', 'attempt.ended', {request: 'r-8', upstream: 'w1'}),
    ];
    const second = [
      line(4, 'entry-2', 'store.lost', {cause: 'down'}),
      line(8, 'entry-2', 'request.refused', {request: 'r-7'}),
      line(9, 'entry-2', 'store.regained', {}),
    ];
    this.files = [join(this.folder, '1.log'), join(this.folder, '2.log')];
    await writeFile(this.files[0], `${first.join('\n')}\n{"time":`);
    await writeFile(this.files[1], second.join('\n'));
  },
);

When(
  'the story of request {string} is asked for',
  async function (this: LogWorld, request: string) {
    const output = new Output(collect(this), collect(this));
    await runCommand(['explain', request, ...this.files], {}, output);
  },
);

Then(
  'its lines come in order of time, with the beliefs that were in force',
  function (this: LogWorld) {
    const events = this.story.map(text =>
      text.split(' ').slice(1, 4).join(' '),
    );
    assert.deepEqual(events, [
      'entry-1 configuration.applied version=4',
      'entry-1 upstream.joined upstream="w1"',
      'entry-2 store.lost cause="down"',
      'entry-1 attempt.ended upstream="w1"',
      'entry-2 request.refused ',
    ]);
  },
);

After(async function (this: Partial<LogWorld>) {
  if (this.folder !== undefined) {
    await rm(this.folder, {recursive: true});
  }
});

function line(
  second: number,
  entry: string,
  event: string,
  fields: object,
): string {
  const time = `2026-01-01T00:00:0${second}.000Z`;
  return JSON.stringify({level: 30, time, entry, event, ...fields});
}

function collect(world: LogWorld): Writable {
  return new Writable({
    write(chunk, _encoding, done) {
      const lines = String(chunk)
        .split('\n')
        .filter(text => text !== '');
      world.story = [...(world.story ?? []), ...lines];
      done();
    },
  });
}
