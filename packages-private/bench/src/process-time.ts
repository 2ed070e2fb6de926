/** Processor time of other processes, as the kernel counts it. */

import {readFileSync} from 'node:fs';

/** Length of the kernel's clock tick, in milliseconds. */
const CLOCK_TICK_MS = 10;

/** Positions of user and system time behind the name of the process. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** User and system time of a process since its start, in milliseconds. */
export function readProcessorMs(pid: number | undefined): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return ticks * CLOCK_TICK_MS;
}
