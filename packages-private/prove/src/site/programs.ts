/** The programs that a site runs, and their settings files. */

import {writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {ProcessOptions} from './managed-process.js';

const require = createRequire(import.meta.url);
const STAND_INS = dirname(require.resolve('@wasabidyke/stand-ins'));
const ENTRY = dirname(require.resolve('@wasabidyke/entry'));

/** Programs of a site. */
export const PROGRAMS = {
  store: join(STAND_INS, 'store', 'main.js'),
  vmList: join(STAND_INS, 'vm-list', 'main.js'),
  links: join(STAND_INS, 'link', 'main.js'),
  upstream: join(STAND_INS, 'upstream', 'main.js'),
  caller: join(STAND_INS, 'caller', 'main.js'),
  entry: join(ENTRY, 'main.js'),
  /** An entry with another part in place of its own. */
  changedEntry: fileURLToPath(new URL('../weakened/main.js', import.meta.url)),
} as const;

/** The directory of a run: settings, logs and history. */
export class RunDirectory {
  readonly path: string;

  constructor(path: string) {
    this.path = path;
  }

  /** The history file of a process. */
  toHistoryFile(name: string): string {
    return join(this.path, `${name}.jsonl`);
  }

  /** Writes a settings file and tells how to run a program with it. */
  prepare(
    name: string,
    program: string,
    settings: object,
    ...further: readonly string[]
  ): ProcessOptions {
    const file = join(this.path, `${name}.settings.json`);
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    return this.toOptions(name, program, '--settings', file, ...further);
  }

  /** Tells how to run a program. */
  toOptions(
    name: string,
    program: string,
    ...programArguments: readonly string[]
  ): ProcessOptions {
    const logFile = join(this.path, `${name}.log`);
    const commandArguments = [program, ...programArguments];
    return {name, commandArguments, logFile};
  }
}
