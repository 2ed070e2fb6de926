/** Reports changes of state: each as a log line and as an event on the time line. */

import {createConsola, type ConsolaInstance} from 'consola';
import type {TimeLine} from './time-line.js';

/** Format of log lines. */
export type LogFormat = 'text' | 'json';

/** Severity of a report. */
export type ReportLevel = 'info' | 'warn' | 'error';

/** A report of a change of state. */
export interface Report {
  readonly level: ReportLevel;
  /** Stable identifier, such as `store.down`; docs/OPERATING.md lists them. */
  readonly code: string;
  /** What the report concerns, such as an upstream's name. */
  readonly subject: string;
  /** What happened and, for warnings and errors, what the user should do. */
  readonly message: string;
}

/** Writes reports to the log and the time line. */
export class Reporter {
  readonly #timeLine: TimeLine;
  readonly #format: LogFormat;
  readonly #console: ConsolaInstance;

  constructor(timeLine: TimeLine, format: LogFormat) {
    this.#timeLine = timeLine;
    this.#format = format;
    this.#console = createConsola({
      stdout: process.stderr,
      stderr: process.stderr,
    });
  }

  /** Reports a change of state. */
  report(report: Report): void {
    this.#timeLine.record(report.code, report.subject, report.message);
    if (this.#format === 'json') {
      const line = JSON.stringify({time: new Date().toISOString(), ...report});
      process.stderr.write(`${line}\n`);
      return;
    }
    const text = `${report.code} ${report.subject}: ${report.message}`;
    this.#console[report.level](text);
  }
}
