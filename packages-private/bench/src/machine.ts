/** The machine that a measurement ran on. */

import {cpus, loadavg, release, totalmem} from 'node:os';
import {MEBIBYTE} from '@wasabidyke/shared';

/** The machine that a measurement ran on. */
export interface Machine {
  readonly processors: number;
  readonly processorModel: string;
  readonly memoryMebibytes: number;
  readonly kernel: string;
  readonly node: string;
  /** Load averages over 1, 5 and 15 minutes, before the measurement. */
  readonly loadAverages: readonly number[];
}

/** Reads what is known of this machine. */
export function readMachine(): Machine {
  const processors = cpus();
  return {
    processors: processors.length,
    processorModel: processors[0]?.model ?? 'unknown',
    memoryMebibytes: Math.round(totalmem() / MEBIBYTE),
    kernel: release(),
    node: process.version,
    loadAverages: loadavg(),
  };
}
