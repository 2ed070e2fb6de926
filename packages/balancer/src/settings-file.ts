/**
 * Follows the settings file: it is read again on a signal, and looked at now
 * and then because it may change without one. Settings that are wrong are
 * refused whole, and the former ones stay.
 */

import {readFile} from 'node:fs/promises';
import {Err, type Result} from '@wasabidyke/shared';
import {
  parseBalancerSettings,
  type BalancerSettings,
} from './balancer-settings.js';
import type {DecisionLog} from './reporting/decision-log.js';

/** How often the file is looked at, in milliseconds: well within the time that a change may take. */
const LOOK_PERIOD_MS = 1_000;

/** The settings file. */
export class SettingsFile {
  readonly #path: string;
  #text = '';
  #timer: NodeJS.Timeout | undefined;

  constructor(path: string) {
    this.#path = path;
  }

  /** Reads the settings for the first time. */
  async read(): Promise<Result<BalancerSettings, readonly string[]>> {
    try {
      this.#text = await readFile(this.#path, 'utf8');
    } catch (error) {
      return Err([`settings: ${this.#path} can't be read: ${String(error)}`]);
    }
    return parseBalancerSettings(this.#text);
  }

  /** Tells of each change that can be read, until `close`. */
  follow(
    log: DecisionLog,
    onChange: (settings: BalancerSettings) => void,
  ): void {
    const look = () => void this.look(log, onChange);
    this.#timer = setInterval(look, LOOK_PERIOD_MS);
    this.#timer.unref();
  }

  /** Reads the file once more. */
  async look(
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
