/** Child processes that print one JSON line when they are ready. */

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

const READY_LIMIT_MS = 30_000;
const STOP_LIMIT_MS = 60_000;

/** A child process in a process group of its own, so that only this script signals it. */
export class Child {
  #name;
  #process;
  #isStopping = false;

  constructor(name, file, settingsFile) {
    this.#name = name;
    this.#process = spawn(
      process.execPath,
      [file, '--settings', settingsFile],
      {
        detached: true,
        stdio: ['ignore', 'pipe', 'inherit'],
      },
    );
  }

  /** Rejects when the process ends before it is told to stop. */
  async watch() {
    const [status, signal] = await this.#ended();
    if (!this.#isStopping) {
      throw new Error(`${this.#name} ended with ${status ?? signal}.`);
    }
  }

  /** Resolves with the line that says that the process is ready. */
  async waitUntilReady() {
    const lines = createInterface({input: this.#process.stdout});
    const [line] = await Promise.race([
      once(lines, 'line', {signal: AbortSignal.timeout(READY_LIMIT_MS)}),
      this.#ended().then(() => {
        throw new Error(`${this.#name} ended before it was ready.`);
      }),
    ]);
    this.#process.stdout.resume();
    return JSON.parse(line);
  }

  /** Asks the process to stop, and resolves when it has ended. */
  async stop() {
    this.#isStopping = true;
    const ended = this.#ended();
    this.#process.kill('SIGTERM');
    const timer = setTimeout(
      () => this.#process.kill('SIGKILL'),
      STOP_LIMIT_MS,
    );
    await ended;
    clearTimeout(timer);
  }

  async #ended() {
    const {exitCode, signalCode} = this.#process;
    const hasEnded = exitCode !== null || signalCode !== null;
    return hasEnded ? [exitCode, signalCode] : once(this.#process, 'exit');
  }
}
