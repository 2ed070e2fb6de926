/** Processes that a measurement starts, and ends by their ids. */

import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

/** Longest wait for a process to say that it serves, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;

/** Most of a process's error output that is kept, in characters. */
const MAXIMUM_ERROR_LENGTH = 4_096;

/** One process. */
export class Child {
  readonly #process: ChildProcess;
  readonly #firstLine: Promise<string>;
  readonly #exit: Promise<void>;
  #errorText = '';

  constructor(file: string, processArguments: readonly string[]) {
    this.#process = spawn(process.execPath, [file, ...processArguments], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#process.stderr?.on('data', (chunk: Buffer) => {
      const room = MAXIMUM_ERROR_LENGTH - this.#errorText.length;
      this.#errorText += chunk.toString().slice(0, Math.max(0, room));
    });
    this.#exit = new Promise(resolve =>
      this.#process.once('close', () => resolve()),
    );
    this.#firstLine = this.#readFirstLine(file);
    this.#firstLine.catch(() => {});
  }

  /** Its process id. */
  get pid(): number | undefined {
    return this.#process.pid;
  }

  /** The first line of its output. Rejects when it ends without one. */
  firstLine(timeoutMs = READY_TIMEOUT_MS): Promise<string> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`no output in ${timeoutMs} ms`)),
        timeoutMs,
      );
      this.#firstLine.then(resolve, reject).finally(() => clearTimeout(timer));
    });
  }

  /** Ends the process at once and waits for its end. */
  async stop(): Promise<void> {
    this.#process.kill('SIGKILL');
    await this.#exit;
  }

  #readFirstLine(file: string): Promise<string> {
    return new Promise((resolve, reject) => {
      const output = this.#process.stdout;
      if (output === null) {
        reject(new Error(`${file} has no output`));
        return;
      }
      const lines = createInterface({input: output});
      lines.once('line', resolve);
      this.#process.once('close', () =>
        reject(new Error(`${file} ended: ${this.#errorText}`)),
      );
    });
  }
}

/** All processes of a measurement, and the directory of their settings. */
export class ChildGroup {
  readonly #directory = mkdtempSync(join(tmpdir(), 'wasabidyke-bench-'));
  readonly #children: Child[] = [];
  #files = 0;

  /** Starts a process. */
  start(file: string, processArguments: readonly string[]): Child {
    const child = new Child(file, processArguments);
    this.#children.push(child);
    return child;
  }

  /** Writes settings to a file. Returns its path. */
  writeSettings(settings: object): string {
    this.#files += 1;
    const file = join(this.#directory, `${this.#files}.json`);
    writeFileSync(file, JSON.stringify(settings));
    return file;
  }

  /** Ends all processes and removes the directory. */
  async stop(): Promise<void> {
    await Promise.all(this.#children.map(child => child.stop()));
    rmSync(this.#directory, {recursive: true, force: true});
  }
}
