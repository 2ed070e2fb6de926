/** What is to happen in a run. */

import type {PlannedRequest, PromiseName} from '@wasabidyke/stand-ins';
import type {FaultName} from '../faults/index.js';

/** A fault of a schedule. */
export interface PlannedFault {
  readonly name: FaultName;
  /** Name of an entry or a worker; `site` for the rest. */
  readonly target: string;
  /** Milliseconds after the start. */
  readonly atMs: number;
  readonly lengthMs: number;
}

/** What one caller does. */
export interface PlannedCaller {
  readonly name: string;
  readonly keepsOldList: boolean;
  readonly requests: readonly PlannedRequest[];
}

/** What is to happen in a run. */
export interface Schedule {
  readonly seed: number;
  /** The promise that the schedule is meant for; undefined for all. */
  readonly promise: PromiseName | undefined;
  /** Time during which requests are sent. */
  readonly durationMs: number;
  readonly callers: readonly PlannedCaller[];
  readonly faults: readonly PlannedFault[];
}

/** Writes a schedule for a reader. */
export function formatSchedule(schedule: Schedule): string {
  const callers = schedule.callers.map(formatCaller);
  const faults = schedule.faults
    .toSorted((left, right) => left.atMs - right.atMs)
    .map(formatFault);
  const promise = schedule.promise ?? 'all';
  const head = `schedule: seed ${schedule.seed}, promise ${promise}, ${schedule.durationMs} ms`;
  return [head, ...callers, ...faults].join('\n');
}

function formatCaller({name, keepsOldList, requests}: PlannedCaller): string {
  const count = (rule: string) =>
    requests.filter(request => request.rule === rule).length;
  const list = keepsOldList
    ? 'keeps its list for all of its age'
    : 'asks often';
  return `  ${name}: ${count('idempotent')} lookups, ${count('at-most-once')} orders, ${count('bulk')} uploads, ${list}`;
}

function formatFault({name, target, atMs, lengthMs}: PlannedFault): string {
  return `  at ${atMs} ms: ${name} ${target} for ${lengthMs} ms`;
}
