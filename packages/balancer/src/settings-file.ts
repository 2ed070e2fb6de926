/**
 * Watches the settings file. It is read again on a signal, and also polled
 * because it may change without one. Invalid settings are refused as a whole,
 * and the former ones stay in effect.
 */

import {readFile} from 'node:fs/promises';
import {Err, type Result} from '@wasabidyke/shared';
import {
  parseBalancerSettings,
  type BalancerSettings,
} from './balancer-settings.js';
import type {DecisionLog} from './reporting/decision-log.js';

/** Time between polls of the file, in milliseconds: well within the time that a change may take. */
const POLL_INTERVAL_MS = 1_000;

/** Reads the settings file and watches it for changes. */
export class SettingsFile {
  readonly #path: string;
  #text = '';
  #timer: NodeJS.Timeout | undefined;

  constructor(path: string) {
    this.#path = path;
  }

  /** Reads and validates the file. */
  async read(): Promise<Result<BalancerSettings, readonly string[]>> {
    try {
      this.#text = await readFile(this.#path, 'utf8');
    } catch (error) {
      return Err([`settings: ${this.#path} can't be read: ${String(error)}`]);
    }
    return parseBalancerSettings(this.#text);
  }

  /** Calls `onChange` with each valid change, until `close`. */
  watch(
    log: DecisionLog,
    onChange: (settings: BalancerSettings) => void,
  ): void {
    const reload = () => void this.reload(log, onChange);
    this.#timer = setInterval(reload, POLL_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Reads the file again. Calls `onChange` if it changed and is valid; logs errors. */
  async reload(
    log: DecisionLog,
    onChange: (settings: BalancerSettings) => void,
  ): Promise<void> {
    const former = this.#text;
    const read = await this.read();
    if (this.#text === former && read.isOk()) {
      return;
    }
    if (read.isErr()) {
      log.record('settings.refused', {cause: read.error.join('; ')});
      return;
    }
    log.record('settings.applied', {file: this.#path});
    onChange(read.value);
  }

  close(): void {
    clearInterval(this.#timer);
  }
}
