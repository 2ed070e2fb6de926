/** Steps for the checks over hand-made histories. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  CHECKS,
  History,
  historyEventSchema,
  type HistoryEvent,
  type HistoryEventKind,
  type PromiseName,
} from '@wasabidyke/stand-ins';

interface ChecksWorld {
  events: HistoryEvent[];
  violations: readonly string[];
}

const WORK = {worker: 'w1', request: 'r1', service: 'shop', key: null};
const ATTEMPT = {
  request: 'r1',
  key: null,
  attempt: 1,
  entry: 'e1',
  service: 'shop',
};

/** What an event says where its line does not. */
const DEFAULTS: Readonly<Record<HistoryEventKind, object>> = {
  'work-received': WORK,
  'run-began': {...WORK, run: 'run1', requestDigest: 'd'},
  'run-ended': {worker: 'w1', request: 'r1', run: 'run1', end: 'answered'},
  'work-shed': {worker: 'w1', request: 'r1'},
  crashed: {worker: 'w1', request: 'r1', service: 'shop'},
  'leaving-told': {worker: 'w1', way: 'manifest'},
  'load-read': {worker: 'w1', bytes: 100},
  'attempt-sent': {
    ...ATTEMPT,
    rule: 'at-most-once',
    requestDigest: 'd',
    isListFresh: true,
  },
  'attempt-ended': {
    ...ATTEMPT,
    end: 'answered',
    status: 200,
    outcome: null,
    reason: null,
    retryAfterSeconds: null,
    run: null,
    answeredRequest: 'r1',
    answerDigest: 'a',
    isWhole: true,
  },
  'revision-seen': {entry: 'e1', incarnation: 'i1', revision: 1},
  'submission-answered': {
    submission: 's1',
    basedOn: 0,
    answer: 'accepted',
    revision: 1,
  },
  fault: {fault: 'kill', target: 'e1', phase: 'begin'},
  stop: {target: 'e1', phase: 'asked', status: null},
  'budget-set': {requestsPerSecond: 1, bytesPerSecond: 1_000},
};

Given('the history', function (this: ChecksWorld, text: string) {
  this.events = text.split('\n').map(parseLine);
});

Given(
  'a load read every {int} ms for {int} ms under a budget of {int} a second',
  function (
    this: ChecksWorld,
    stepMs: number,
    lengthMs: number,
    requestsPerSecond: number,
  ) {
    const budget = {requestsPerSecond, bytesPerSecond: 1_000_000};
    this.events = [toEvent('budget-set', {atMs: 0, ...budget})];
    for (let atMs = 0; atMs < lengthMs; atMs += stepMs) {
      this.events.push(toEvent('load-read', {atMs}));
    }
  },
);

When(
  'the check {string} decides',
  function (this: ChecksWorld, promise: PromiseName) {
    this.violations = CHECKS[promise](new History(this.events)).violations;
  },
);

Then('it finds nothing', function (this: ChecksWorld) {
  assert.deepEqual(this.violations, []);
});

Then('it finds {string}', function (this: ChecksWorld, text: string) {
  const isFound = this.violations.some(each => each.includes(text));
  assert.ok(isFound, `found ${JSON.stringify(this.violations)}`);
});

/** Reads `<milliseconds> <kind> <name>=<value> …`. */
function parseLine(line: string): HistoryEvent {
  const [atMs, kind, ...parts] = line.trim().split(/\s+/);
  const fields = parts.map(part => part.split('='));
  const values = fields.map(([name, value]) => [name, parseValue(name, value)]);
  const given = {atMs: Number(atMs), ...Object.fromEntries(values)} as object;
  return toEvent(kind as HistoryEventKind, given);
}

function parseValue(name: string, text: string): unknown {
  const isText = ['request', 'key', 'run', 'entry', 'worker'].includes(name);
  if (text === 'null') {
    return null;
  }
  if (text === 'true' || text === 'false') {
    return text === 'true';
  }
  return isText || Number.isNaN(Number(text)) ? text : Number(text);
}

function toEvent(kind: HistoryEventKind, given: object): HistoryEvent {
  const event = {kind, process: 'test', ...DEFAULTS[kind], ...given};
  return historyEventSchema.parse(event);
}
