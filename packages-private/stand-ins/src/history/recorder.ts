/** Writes a process's part of the history. */

import {closeSync, openSync, writeSync} from 'node:fs';
import type {HistoryEvent} from './events.js';

const NANOSECONDS_PER_MILLISECOND = 1_000_000;

type WithoutBase<Event> = Event extends HistoryEvent
  ? Omit<Event, 'atMs' | 'process'>
  : never;

/** An event before it is stamped. */
export type UnstampedEvent = WithoutBase<HistoryEvent>;

/** Milliseconds on the clock that all processes of the machine share. */
export function readMachineClock(): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND;
}

/** Takes the events of one process. */
export abstract class HistoryRecorder {
  /** Records an event before the caller goes on. */
  abstract record(event: UnstampedEvent): void;

  /** Ends recording. */
  abstract close(): void;
}

/** Appends each event by one write, so that a killed process loses none. */
export class FileHistoryRecorder extends HistoryRecorder {
  readonly #process: string;
  readonly #descriptor: number;

  constructor(process: string, file: string) {
    super();
    this.#process = process;
    this.#descriptor = openSync(file, 'a');
  }

  override record(event: UnstampedEvent): void {
    const stamped = {
      atMs: readMachineClock(),
      process: this.#process,
      ...event,
    };
    writeSync(this.#descriptor, `${JSON.stringify(stamped)}\n`);
  }

  override close(): void {
    closeSync(this.#descriptor);
  }
}

/** Records nothing, for measurements. */
export class NullHistoryRecorder extends HistoryRecorder {
  override record(): void {}

  override close(): void {}
}

/** Creates the recorder of a process; one that records nothing without a file. */
export function createHistoryRecorder(
  process: string,
  file: string | undefined,
): HistoryRecorder {
  return file === undefined
    ? new NullHistoryRecorder()
    : new FileHistoryRecorder(process, file);
}
