/** Where the command line writes: data to one stream, messages to the other. */

import type {Writable} from 'node:stream';
import {formatFinding, type Finding} from '@wasabidyke/shared';
import {createConsola, type ConsolaInstance} from 'consola';

/** Spaces by which JSON is indented. */
const JSON_INDENT = 2;

/** The two output streams of the command line. */
export class Output {
  readonly #data: Writable;
  readonly #messages: Writable;
  readonly #console: ConsolaInstance;

  constructor(data: Writable, messages: Writable) {
    this.#data = data;
    this.#messages = messages;
    const stream = messages as NodeJS.WriteStream;
    this.#console = createConsola({stdout: stream, stderr: stream});
  }

  /** Writes data as text, ended by a line break. */
  writeText(text: string): void {
    if (text === '') {
      return;
    }
    this.#data.write(text.endsWith('\n') ? text : `${text}\n`);
  }

  /** Writes data as JSON. */
  writeJson(content: unknown): void {
    this.writeText(JSON.stringify(content, undefined, JSON_INDENT));
  }

  /** Writes a message as it stands. */
  writeMessage(text: string): void {
    this.#messages.write(text.endsWith('\n') ? text : `${text}\n`);
  }

  /** Tells what was done. */
  success(message: string): void {
    this.#console.success(message);
  }

  /** Tells something worth knowing. */
  info(message: string): void {
    this.#console.info(message);
  }

  /** Tells what is incomplete. */
  warn(message: string): void {
    this.#console.warn(message);
  }

  /** Tells why something was not done. */
  error(message: string): void {
    this.#console.error(message);
  }

  /** Writes one line a finding. */
  writeFindings(findings: readonly Finding[]): void {
    for (const finding of findings) {
      this.writeMessage(formatFinding(finding));
    }
  }
}

/** Counts findings in words. */
export function countFindings(count: number): string {
  return count === 1 ? '1 finding' : `${count} findings`;
}
